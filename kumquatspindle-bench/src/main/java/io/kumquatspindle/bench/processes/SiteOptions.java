package io.kumquatspindle.bench.processes;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** What a test site consists of; built by {@link TestSite.Builder}. */
record SiteOptions(
    BuildTree tree,
    Path directory,
    List<String> domains,
    int vmsPerDomain,
    int engines,
    int services,
    boolean platformRelays,
    boolean peerRelays,
    Map<String, String> standIns,
    Map<String, String> entry,
    Map<String, String> control) {}
