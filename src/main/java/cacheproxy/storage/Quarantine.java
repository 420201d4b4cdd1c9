package cacheproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Keeps damaged files under other names, for whoever looks into the damage. */
final class Quarantine {
  private static final String PREFIX = "damaged-";

  private final Disk disk;

  Quarantine(Disk disk) {
    this.disk = disk;
  }

  /** Renames a file; returns its new name. */
  String moveToQuarantine(String fileName) throws IOException {
    String keptAs = PREFIX + fileName;
    disk.rename(fileName, keptAs);
    return keptAs;
  }

  /** Writes a synced copy of a file that stays in use; returns the copy's name. */
  String copyToQuarantine(String fileName, ByteBuffer content) throws IOException {
    String keptAs = PREFIX + fileName;
    try (Disk.File copy = disk.open(keptAs)) {
      copy.truncate(0);
      copy.write(0, content.rewind());
      copy.fsync();
    }
    return keptAs;
  }
}
