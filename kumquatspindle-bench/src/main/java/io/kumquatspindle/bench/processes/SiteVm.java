package io.kumquatspindle.bench.processes;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;

/** VM of a test site, which runs an entry process and a control process. */
public final class SiteVm {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final int ENTRY_HEAP_MB = 256;
  private static final int CONTROL_HEAP_MB = 64;

  private final BuildTree tree;
  private final Path directory;
  private final VmId id;
  private final FailureDomain domain;
  private final SitePorts.VmPorts ports;
  private ManagedProcess control;
  private ManagedProcess entry;

  SiteVm(BuildTree tree, Path directory, VmId id, FailureDomain domain, SitePorts.VmPorts ports) {
    this.tree = tree;
    this.directory = directory;
    this.id = id;
    this.domain = domain;
    this.ports = ports;
  }

  public VmId id() {
    return id;
  }

  public FailureDomain domain() {
    return domain;
  }

  /**
   * Returns the base URL at which the entry process serves callers.
   *
   * @return the URL
   */
  public URI callerUrl() {
    return url(ports.callers());
  }

  /**
   * Returns the base URL of the admin pages of the entry process.
   *
   * @return the URL
   */
  public URI entryAdminUrl() {
    return url(ports.entryAdmin());
  }

  /**
   * Returns the base URL of the admin pages of the control process.
   *
   * @return the URL
   */
  public URI controlAdminUrl() {
    return url(ports.controlAdmin());
  }

  /**
   * Returns the address at which the control process listens for entry processes and peers.
   *
   * @return the direct address, which does not pass through a relay
   */
  public InetSocketAddress controlPeerAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.peers());
  }

  /**
   * Returns the control process.
   *
   * @return the most recently started one
   */
  public ManagedProcess control() {
    return control;
  }

  /**
   * Returns the entry process.
   *
   * @return the most recently started one
   */
  public ManagedProcess entry() {
    return entry;
  }

  /**
   * Starts the control process without waiting until it is ready.
   *
   * @return the process
   * @throws IOException if the process cannot be started
   */
  public ManagedProcess startControl() throws IOException {
    control =
        processBuilder("control", CONTROL_HEAP_MB, "-XX:+UseSerialGC")
            .readiness(Readiness.healthPage(controlAdminUrl().resolve("/health/ready")))
            .start();
    return control;
  }

  /**
   * Starts the entry process without waiting until it is ready.
   *
   * @return the process
   * @throws IOException if the process cannot be started
   */
  public ManagedProcess startEntry() throws IOException {
    entry =
        processBuilder("entry", ENTRY_HEAP_MB)
            .readiness(Readiness.healthPage(entryAdminUrl().resolve("/health/ready")))
            .start();
    return entry;
  }

  /**
   * Waits until all started processes of the VM are ready.
   *
   * @throws IOException if one of them ends or is not ready in time
   */
  public void awaitReady() throws IOException {
    control.awaitReady(START_TIMEOUT);
    if (entry != null) {
      entry.awaitReady(START_TIMEOUT);
    }
  }

  /** Kills both processes without a graceful stop, as in the loss of a VM. */
  public void kill() {
    control.kill();
    if (entry != null) {
      entry.kill();
    }
  }

  SitePorts.VmPorts ports() {
    return ports;
  }

  Path settingsFile(String program) {
    return directory.resolve(id + "-" + program + ".ini");
  }

  private ManagedProcess.Builder processBuilder(String program, int heapMb, String... options)
      throws IOException {
    return ManagedProcess.builder(id + "-" + program, directory)
        .jar(tree.jar("kumquatspindle-" + program), heapMb, options)
        .args("--settings", settingsFile(program).toString());
  }

  private static URI url(int port) {
    return URI.create("http://127.0.0.1:" + port);
  }
}
