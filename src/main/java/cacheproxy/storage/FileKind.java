package cacheproxy.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The kinds of stored files, each with its magic number and its file names: a prefix and 16
 * hexadecimal digits of a record number. Both are part of the stored format.
 */
enum FileKind {
  /** Records in order; the number is that of the first one. */
  SEGMENT(0x434C484A, "journal-"),
  /** A state that stands for all records up to the number. */
  SNAPSHOT(0x434C4853, "snapshot-");

  private static final int NUMBER_DIGITS = 16;
  private static final int HEX_RADIX = 16;

  private final int magic;
  private final String prefix;

  FileKind(int magic, String prefix) {
    this.magic = magic;
    this.prefix = prefix;
  }

  /** The first four bytes of a file of this kind. */
  int magic() {
    return magic;
  }

  String fileName(long number) {
    return prefix + String.format("%016x", number);
  }

  /** The numbers of this kind's files among these names, ascending; other names are ignored. */
  List<Long> numbersIn(List<String> fileNames) {
    List<Long> numbers = new ArrayList<>();
    for (String fileName : fileNames) {
      if (fileName.startsWith(prefix) && fileName.length() == prefix.length() + NUMBER_DIGITS) {
        try {
          numbers.add(Long.parseUnsignedLong(fileName.substring(prefix.length()), HEX_RADIX));
        } catch (NumberFormatException e) {
          // not a file of the journal
        }
      }
    }
    numbers.sort(Comparator.naturalOrder());
    return numbers;
  }
}
