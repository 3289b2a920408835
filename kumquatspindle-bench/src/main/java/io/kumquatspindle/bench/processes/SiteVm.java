package io.kumquatspindle.bench.processes;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;

/** One VM of a test site: an entry process and a control process. */
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

  /**
   * Returns the VM's identifier.
   *
   * @return the identifier
   */
  public VmId id() {
    return id;
  }

  /**
   * Returns the VM's failure domain.
   *
   * @return the failure domain
   */
  public FailureDomain domain() {
    return domain;
  }

  /**
   * Returns the base URL for callers.
   *
   * @return the URL of the entry process
   */
  public URI callers() {
    return url(ports.callers());
  }

  /**
   * Returns the base URL of the entry's admin pages.
   *
   * @return the URL
   */
  public URI entryAdmin() {
    return url(ports.entryAdmin());
  }

  /**
   * Returns the base URL of the control's admin pages.
   *
   * @return the URL
   */
  public URI controlAdmin() {
    return url(ports.controlAdmin());
  }

  /**
   * Returns the address at which the control listens for entry programs and peers.
   *
   * @return IP address and port, without a relay
   */
  public InetSocketAddress controlLinks() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.peers());
  }

  /**
   * Returns the control process.
   *
   * @return the newest one that was started
   */
  public ManagedProcess control() {
    return control;
  }

  /**
   * Returns the entry process.
   *
   * @return the newest one that was started
   */
  public ManagedProcess entry() {
    return entry;
  }

  /**
   * Starts the control process without waiting for readiness.
   *
   * @return the process
   * @throws IOException if it cannot be started
   */
  public ManagedProcess startControl() throws IOException {
    control =
        program("control", CONTROL_HEAP_MB, "-XX:+UseSerialGC")
            .readiness(Readiness.page(controlAdmin().resolve("/health/ready")))
            .start();
    return control;
  }

  /**
   * Starts the entry process without waiting for readiness.
   *
   * @return the process
   * @throws IOException if it cannot be started
   */
  public ManagedProcess startEntry() throws IOException {
    entry =
        program("entry", ENTRY_HEAP_MB)
            .readiness(Readiness.page(entryAdmin().resolve("/health/ready")))
            .start();
    return entry;
  }

  /**
   * Waits until both processes are ready.
   *
   * @throws IOException if one of them ends or is not ready in time
   */
  public void awaitReady() throws IOException {
    control.awaitReady(START_TIMEOUT);
    if (entry != null) {
      entry.awaitReady(START_TIMEOUT);
    }
  }

  /** Kills both processes at once, as if the VM were taken away. */
  public void kill() {
    control.kill();
    if (entry != null) {
      entry.kill();
    }
  }

  SitePorts.VmPorts ports() {
    return ports;
  }

  Path settings(String program) {
    return directory.resolve(id + "-" + program + ".ini");
  }

  private ManagedProcess.Builder program(String program, int heapMb, String... options)
      throws IOException {
    return ManagedProcess.builder(id + "-" + program, directory)
        .jar(tree.jar("kumquatspindle-" + program), heapMb, options)
        .args("--settings", settings(program).toString());
  }

  private static URI url(int port) {
    return URI.create("http://127.0.0.1:" + port);
  }
}
