package io.kumquatspindle.bench.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Managed process")
class ManagedProcessTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir Path dir;

  private ManagedProcess standIns() throws IOException {
    Path settings = dir.resolve("s.ini");
    Files.writeString(settings, "[log]\nlisten = 127.0.0.1:0\n");
    ManagedProcess p =
        ManagedProcess.builder("standins", dir)
            .jar(BuildTree.current().jar("kumquatspindle-standins"), 128)
            .args("--settings", settings.toString())
            .readiness(Readiness.outputContains("\"ready\":true"))
            .start();
    p.awaitReady(TIMEOUT);
    return p;
  }

  @Test
  @DisplayName("starts the stand-ins, which exit with status 0 on SIGTERM")
  void startsAndTerminates() throws Exception {
    try (ManagedProcess p = standIns()) {
      p.terminate();
      assertEquals(OptionalInt.of(0), p.awaitExit(TIMEOUT));
    }
  }

  @Test
  @DisplayName("pauses a process, which responds again after it is resumed")
  void pausesAndResumes() throws Exception {
    try (ManagedProcess p = standIns()) {
      int port = ReadyLine.parsePorts(Files.readString(p.output())).get("log");
      Readiness page = Readiness.healthPage(URI.create("http://127.0.0.1:" + port + "/stats"));
      assertTrue(page.check(p));
      p.pause();
      assertFalse(page.check(p));
      p.resume();
      assertTrue(page.check(p));
    }
  }

  @Test
  @DisplayName("kills a paused process, which would not handle SIGTERM")
  void killsPaused() throws Exception {
    ManagedProcess p = ManagedProcess.builder("sleep", dir).args("sleep", "300").start();
    p.pause();
    p.close();
    assertFalse(p.isAlive());
  }

  @Test
  @DisplayName("reports a process that exits before it is ready, with its error output")
  void reportsExitBeforeReady() throws Exception {
    ManagedProcess p =
        ManagedProcess.builder("fails", dir)
            .args("sh", "-c", "echo reason >&2; exit 3")
            .readiness(Readiness.outputContains("ready"))
            .start();
    IOException e = assertThrows(IOException.class, () -> p.awaitReady(TIMEOUT));
    assertTrue(e.getMessage().contains("ended with 3: reason"), e.getMessage());
  }

  @Test
  @DisplayName("leaves no child process behind when the parent is killed with SIGKILL")
  void endsWithParentProcess() throws Exception {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String main = ParentProcessMain.class.getName();
    Process parent = new ProcessBuilder(java, "-cp", classPath, main, dir.toString()).start();
    BufferedReader out = parent.inputReader(StandardCharsets.UTF_8);
    ProcessHandle child = ProcessHandle.of(Long.parseLong(out.readLine())).orElseThrow();
    assertTrue(child.isAlive());
    parent.destroyForcibly();
    Awaitility.await().until(() -> !child.isAlive());
  }
}
