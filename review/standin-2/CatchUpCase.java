import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A machine of the core is killed and started again some seconds later, while the configuration changes. Long after it
 * is back, the machine that leads is removed for good, and an empty one comes at a new address. Then the
 * configuration is read back.
 */
public final class CatchUpCase {
    private static final int ACCOUNTS = 7_700;
    private static final int KEYS = 3;
    private static final int KEY_LENGTH = 64;

    /** Changes before the first disruption, and those that begin during it. */
    private static final int FIRST_CHANGES = 16;
    private static final int CHANGES = 12;
    private static final int IN_PROGRESS = 2;

    /** The usual length of such a disruption. */
    private static final int AWAY_MILLIS = 5_000;

    /** The case takes too long for its limit if it has not come to the read by then. */
    private static final int LATEST_READ_MILLIS = 90_000;

    /** Twice the time after which a machine that is back counts as lost no more. */
    private static final int CALM_MILLIS = 8_000;

    /** The recovery time of the pages, and the time for which the operator reads after it. */
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int READ_MILLIS = 12_000;
    private static final Pattern STANDING = Pattern.compile("event=replica_standing role=(\\w+) term=(\\d+)");
    private static final Pattern VERSION = Pattern.compile("\"Version\":(\\d+)");

    private final Deployment deployment;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final String tenants = Configurations.tenants(ACCOUNTS, KEYS, KEY_LENGTH, 54);
    private volatile List<String> remaining = List.of();
    private final AtomicLong nextVersion = new AtomicLong();
    private final AtomicLong newestAcknowledged = new AtomicLong();

    private CatchUpCase(Deployment deployment, PrintWriter record) {
        this.deployment = deployment;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true)) {
            try (Deployment deployment = new Deployment(4)) {
                status = new CatchUpCase(deployment, record).run(hasTrouble);
                if (arguments.length > 1) {
                    for (Deployment.Machine machine : deployment.machines) {
                        Files.copy(machine.log, Path.of(arguments[1] + machine.index));
                    }
                }
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
        List<Deployment.Machine> machines = deployment.machines;
        for (int index = 0; index < 3; index++) machines.get(index).start(true);
        while (nextVersion.get() < FIRST_CHANGES) {
            if (!send(nextVersion.incrementAndGet(), controls(0, 1, 2), 30_000)) return 2;
        }
        int leader = leader();
        int away = (leader + 1) % 3;
        remaining = controls(leader, (leader + 2) % 3);
        note("machine " + leader + " leads");
        if (hasTrouble) {
            machines.get(away).kill();
            note("machine " + away + " killed");
        }
        long start = elapsedMillis();
        List<Thread> operators = new ArrayList<>();
        for (int index = 0; index < IN_PROGRESS; index++) {
            Thread operator = new Thread(this::change);
            operators.add(operator);
            operator.start();
        }
        Thread.sleep(AWAY_MILLIS);
        if (hasTrouble) {
            machines.get(away).start(false);
            note("machine " + away + " started again, with its disk");
        }
        for (Thread operator : operators) operator.join();
        note(CHANGES + " changes took " + (elapsedMillis() - start) + " ms");
        Thread.sleep(CALM_MILLIS);
        note("bytes of the logs" + logSizes());
        leader = leader();
        if (hasTrouble) {
            if (leader == away) return 2;
            machines.get(leader).kill();
            note("machine " + leader + ", which leads, removed for good");
            Thread.sleep(2_000);
            machines.get(3).seedsOf = new int[] {(leader + 1) % 3, (leader + 2) % 3, 3};
            machines.get(3).start(false);
            note("machine 3 started, with an empty disk");
        }
        Thread.sleep(RECOVERY_MILLIS);
        if (elapsedMillis() > LATEST_READ_MILLIS) return 2;
        long acknowledged = newestAcknowledged.get();
        long held = readBack(hasTrouble ? controls((leader + 1) % 3, (leader + 2) % 3, 3) : controls(0, 1, 2));
        note("newest acknowledged " + acknowledged + ", read back " + (held < 0 ? "nothing" : Long.toString(held)));
        return held < acknowledged ? 1 : 0;
    }

    /** Sends one change after the other until enough of them were sent. */
    private void change() {
        try {
            for (long version = next(); version > 0; version = next()) {
                if (!send(version, remaining, 10_000)) note("no acknowledgement of version " + version);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private long next() {
        long last = FIRST_CHANGES + CHANGES;
        long version = nextVersion.getAndUpdate(newest -> Math.min(newest + 1, last)) + 1;
        return version <= last ? version : 0;
    }

    /** The machine that leads, by what the processes have written last. */
    private int leader() throws IOException {
        int leader = -1;
        long newestTerm = -1;
        for (Deployment.Machine machine : deployment.machines) {
            if (!machine.isAlive()) continue;
            Matcher standing = STANDING.matcher(machine.logText());
            String role = "";
            long term = -1;
            while (standing.find()) {
                role = standing.group(1);
                term = Long.parseLong(standing.group(2));
            }
            if (role.equals("LEADER") && term > newestTerm) {
                leader = machine.index;
                newestTerm = term;
            }
        }
        if (leader < 0) throw new IOException("no machine leads");
        return leader;
    }

    private List<String> controls(int... indexes) {
        List<String> addresses = new ArrayList<>();
        for (int index : indexes) addresses.add(deployment.machines.get(index).control());
        return addresses;
    }

    /** Sends a configuration until it is acknowledged, to one machine after the other. */
    private boolean send(long version, List<String> controls, int timeLimitMillis) throws InterruptedException {
        byte[] body = Configurations.of(version, tenants, 2_500).getBytes(StandardCharsets.UTF_8);
        long end = elapsedMillis() + timeLimitMillis;
        for (int attempt = 0; elapsedMillis() < end; attempt++) {
            try {
                Net.Message answer = Net.call(controls.get(attempt % controls.size()), "PUT", "/api/config",
                    "Content-Type: application/json\r\n", body, 2_000);
                if (answer != null && answer.status() == 200) {
                    newestAcknowledged.accumulateAndGet(version, Math::max);
                    note("acknowledged version " + version + ", " + body.length + " bytes");
                    return true;
                }
            } catch (IOException notAnswered) {
                // Sent again, to the next machine.
            }
            Thread.sleep(100);
        }
        return false;
    }

    private String logSizes() throws IOException {
        StringBuilder sizes = new StringBuilder();
        for (int index = 0; index < 3; index++) {
            Path log = deployment.machines.get(index).dataFolder.resolve("control.log");
            sizes.append(' ').append(Files.exists(log) ? Files.size(log) : 0);
        }
        return sizes.toString();
    }

    /** Reads at one machine after the other; returns the version, or -1 if none answers with one in time. */
    private long readBack(List<String> controls) throws InterruptedException {
        long end = elapsedMillis() + READ_MILLIS;
        int refused = 0;
        int unanswered = 0;
        for (int attempt = 0; elapsedMillis() < end; attempt++) {
            try {
                Net.Message answer =
                    Net.call(controls.get(attempt % controls.size()), "GET", "/api/config", "", new byte[0], 2_000);
                if (answer != null && answer.status() == 200) {
                    Matcher version = VERSION.matcher(answer.text());
                    if (version.find()) return Long.parseLong(version.group(1));
                }
                refused++;
            } catch (IOException notAnswered) {
                unanswered++;
            }
            Thread.sleep(200);
        }
        note("reads answered with no configuration " + refused + ", reads without an answer " + unanswered);
        return -1;
    }
}
