package damsonworks;

import damsonworks.RoutingApi.Group;
import damsonworks.RoutingApi.Settings;

/** Settings for tests of other packages. */
public final class SettingsForTests {
    private SettingsForTests() { }

    /** The aside mode, the list pushed, no second copies. */
    public static Settings aside() {
        return Rig.settings(true, false, false, Group.ALL);
    }
}
