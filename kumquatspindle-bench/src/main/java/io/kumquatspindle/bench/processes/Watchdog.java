package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Kills child processes when the bench exits, whatever the cause.
 *
 * <p>A shutdown hook covers normal exits and SIGTERM. SIGKILL runs no hook, so each child process
 * is also watched by a shell that blocks on a pipe from the bench. When the operating system closes
 * that pipe, the shell kills the child by its process id.
 */
final class Watchdog {
  private static final Set<Process> WATCHED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(Watchdog::killAll, "kill-processes"));
  }

  private Watchdog() {}

  static void watch(Process p) throws IOException {
    WATCHED.add(p);
    String script = "read -r line; [ \"$line\" = ended ] || kill -9 " + p.pid();
    Process shell =
        new ProcessBuilder("sh", "-c", script)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    p.onExit()
        .thenAccept(
            ended -> {
              WATCHED.remove(p);
              endWatch(shell);
            });
  }

  private static void endWatch(Process shell) {
    try (OutputStream out = shell.getOutputStream()) {
      out.write("ended\n".getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      shell.destroy(); // The shell has ended already.
    }
  }

  private static void killAll() {
    WATCHED.forEach(Process::destroyForcibly);
  }
}
