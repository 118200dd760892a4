import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An operator changes the configuration hundreds of times, eight changes at most in progress at once. Four times, all
 * processes are killed at the same moment and started again at once, with their disks. The size of a file is limited to
 * that of the disk. At the end, while the operator goes on to send a change without an acknowledgement, the
 * configuration is read back.
 */
public final class GrowthCase {
    private static final int IN_PROGRESS = 8;
    private static final int ACCOUNTS = 2_000;
    private static final int ROUNDS = 5;
    private static final int CHANGES_IN_A_ROUND = 130;

    /** Time without a disruption after which the core is stable, and two seconds more. */
    private static final int CALM_MILLIS = 5_000;

    /** Three times the time within which an acknowledgement must come. */
    private static final int SEND_MILLIS = 12_000;
    private static final int READ_MILLIS = 12_000;
    private static final Pattern VERSION = Pattern.compile("\"Version\":(\\d+)");

    private final Deployment deployment;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final AtomicLong nextVersion = new AtomicLong(1);
    private final AtomicLong newestAcknowledged = new AtomicLong();
    private final String tenants = Configurations.tenants(ACCOUNTS, 54);

    private GrowthCase(Deployment deployment, PrintWriter record) {
        this.deployment = deployment;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true)) {
            try (Deployment deployment = new Deployment(3)) {
                status = new GrowthCase(deployment, record).run(hasTrouble);
            } catch (Exception problem) {
                record.println("could not run: " + problem);
                status = 2;
            }
            record.println("exit " + status);
        }
        System.exit(status);
    }

    private long elapsedMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private synchronized void note(String text) {
        record.println(elapsedMillis() + " ms " + text);
    }

    private int run(boolean hasTrouble) throws Exception {
        for (Deployment.Machine machine : deployment.machines) machine.start(true);
        if (!send(nextVersion.getAndIncrement(), 0, 30_000)) return 2;
        int unacknowledged = 0;
        for (int round = 1; round <= ROUNDS && unacknowledged == 0; round++) {
            unacknowledged = change();
            note("round " + round + ": newest acknowledged " + newestAcknowledged + ", without acknowledgement "
                + unacknowledged + ", bytes of the logs" + logSizes());
            if (hasTrouble && unacknowledged == 0 && round < ROUNDS) restartAll();
        }
        long acknowledged = newestAcknowledged.get();
        AtomicBoolean isReading = new AtomicBoolean(true);
        long open = nextVersion.get();
        Thread operator = new Thread(() -> {
            while (isReading.get() && !send(open, 0, 1_000)) note("no acknowledgement of version " + open);
        });
        if (unacknowledged > 0) operator.start();
        long held = readBack();
        isReading.set(false);
        if (unacknowledged > 0) operator.join();
        note("newest acknowledged " + acknowledged + ", read back " + (held < 0 ? "nothing" : Long.toString(held)));
        for (Deployment.Machine machine : deployment.machines) noteDiskFailures(machine);
        return held < acknowledged ? 1 : 0;
    }

    /** Sends the changes of a round; returns how many got no acknowledgement in time. */
    private int change() throws InterruptedException {
        long end = nextVersion.get() + CHANGES_IN_A_ROUND;
        AtomicInteger unacknowledged = new AtomicInteger();
        List<Thread> operators = new ArrayList<>();
        for (int index = 0; index < IN_PROGRESS; index++) {
            int first = index;
            Thread operator = new Thread(() -> {
                for (long version = next(end); version > 0 && unacknowledged.get() == 0; version = next(end)) {
                    if (!send(version, first, SEND_MILLIS)) unacknowledged.incrementAndGet();
                }
            });
            operators.add(operator);
            operator.start();
        }
        for (Thread operator : operators) operator.join();
        return unacknowledged.get();
    }

    /** The next version below {@code end}, or 0. */
    private long next(long end) {
        long version = nextVersion.getAndUpdate(next -> next < end ? next + 1 : next);
        return version < end ? version : 0;
    }

    /** Sends a configuration until it is acknowledged, to one machine after the other. */
    private boolean send(long version, int first, int timeLimitMillis) {
        byte[] body = Configurations.of(version, tenants, 2_500).getBytes(StandardCharsets.UTF_8);
        List<String> controls = deployment.controls();
        long end = elapsedMillis() + timeLimitMillis;
        for (int attempt = first; elapsedMillis() < end; attempt++) {
            try {
                Net.Message answer = Net.call(controls.get(attempt % controls.size()), "PUT", "/api/config",
                    "Content-Type: application/json\r\n", body, 2_000);
                if (answer != null && answer.status() == 200) {
                    newestAcknowledged.accumulateAndGet(version, Math::max);
                    return true;
                }
            } catch (IOException notAnswered) {
                // Sent again, to the next machine.
            }
            pause(100);
        }
        return false;
    }

    private void restartAll() throws Exception {
        ProcessBuilder all = new ProcessBuilder("kill", "-KILL");
        for (Deployment.Machine machine : deployment.machines) all.command().add(Long.toString(machine.pid()));
        all.start().waitFor();
        for (Deployment.Machine machine : deployment.machines) machine.kill();
        Thread.sleep(300);
        for (Deployment.Machine machine : deployment.machines) machine.start(false);
        note("all were killed at the same moment and started again, with their disks");
        for (Deployment.Machine machine : deployment.machines) {
            long end = elapsedMillis() + 10_000;
            while (!isReady(machine) && elapsedMillis() < end) Thread.sleep(100);
        }
        Thread.sleep(CALM_MILLIS);
    }

    private boolean isReady(Deployment.Machine machine) {
        try {
            Net.Message answer = Net.call(machine.ready(), "GET", "/api/ready", "", new byte[0], 1_000);
            return answer != null && answer.status() == 200;
        } catch (IOException notAnswered) {
            return false;
        }
    }

    private String logSizes() throws IOException {
        StringBuilder sizes = new StringBuilder();
        for (Deployment.Machine machine : deployment.machines) {
            Path log = machine.dataFolder.resolve("control.log");
            sizes.append(' ').append(Files.exists(log) ? Files.size(log) : 0);
        }
        return sizes.toString();
    }

    private void noteDiskFailures(Deployment.Machine machine) throws IOException {
        List<String> lines = machine.logText().lines().filter(line -> line.contains("event=disk_failed")).toList();
        note("machine " + machine.index + " wrote event=disk_failed " + lines.size() + " times"
            + (lines.isEmpty() ? "" : ", first: " + lines.get(0).replaceAll(".*event=", "event=")));
    }

    /** Reads at one machine after the other; returns the version, or -1 if none answers with one in time. */
    private long readBack() {
        List<String> controls = deployment.controls();
        long end = elapsedMillis() + READ_MILLIS;
        for (int attempt = 0; elapsedMillis() < end; attempt++) {
            try {
                Net.Message answer = Net.call(controls.get(attempt % controls.size()), "GET", "/api/config", "",
                    new byte[0], 2_000);
                if (answer != null && answer.status() == 200) {
                    Matcher version = VERSION.matcher(answer.text());
                    if (version.find()) return Long.parseLong(version.group(1));
                }
            } catch (IOException notAnswered) {
                // Asked again.
            }
            pause(100);
        }
        return -1;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
