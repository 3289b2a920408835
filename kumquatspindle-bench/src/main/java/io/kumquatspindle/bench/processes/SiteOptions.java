package io.kumquatspindle.bench.processes;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Configuration of a test site, built by {@link TestSite.Builder}. */
record SiteOptions(
    BuildTree tree,
    Path directory,
    List<String> domains,
    int vmsPerDomain,
    int engines,
    int services,
    boolean platformRelays,
    boolean peerRelays,
    Map<String, String> standInSettings,
    Map<String, String> entrySettings,
    Map<String, String> controlSettings) {}
