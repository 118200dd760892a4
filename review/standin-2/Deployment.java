import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: entry VMs with a disk, one in each zone, as processes that the run line of the deploy file
 * starts, on loopback addresses. The settings are those of the users' page.
 */
final class Deployment implements AutoCloseable {
    final List<Machine> machines = new ArrayList<>();
    private final Path folder;
    private final List<String> runLine;

    /** Starts nothing yet; {@code count} machines share the ports and differ in their addresses. */
    Deployment(int count) throws IOException {
        folder = Files.createTempDirectory("review-");
        runLine = runLine();
        String[] hosts = new String[count];
        int base = 16 + (int) (ProcessHandle.current().pid() % 200);
        for (int index = 0; index < count; index++) hosts[index] = "127.77." + base + "." + (10 + index);
        int[] ports = new int[6];
        for (int index = 0; index < ports.length; index++) {
            int port;
            do {
                port = Net.freePort(hosts);
            } while (contains(ports, port));
            ports[index] = port;
        }
        for (int index = 0; index < count; index++) machines.add(new Machine(index, hosts[index], ports, hosts));
    }

    private static boolean contains(int[] ports, int port) {
        return Arrays.stream(ports).anyMatch(known -> known == port);
    }

    /** The first run line of the deploy file, split at spaces. */
    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    List<String> controls() {
        List<String> addresses = new ArrayList<>();
        for (Machine machine : machines) addresses.add(machine.control());
        return addresses;
    }

    @Override
    public void close() {
        for (Machine machine : machines) machine.kill();
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException leftOver) {
            System.err.println("temporary folder not removed: " + leftOver.getMessage());
        }
    }

    /** One machine with its process, its settings file and its disk folder. */
    final class Machine {
        final int index;
        final String host;
        final Path dataFolder;
        final Path log;
        private final int[] ports;
        private final String[] hosts;
        private final Path settings;
        private Process process;

        /** The machines that its settings name as seeds. */
        int[] seedsOf = {0, 1, 2};

        Machine(int index, String host, int[] ports, String[] hosts) throws IOException {
            this.index = index;
            this.host = host;
            this.ports = ports;
            this.hosts = hosts;
            dataFolder = Files.createDirectory(folder.resolve("disk-" + index));
            settings = folder.resolve("settings-" + index + ".json");
            log = folder.resolve("log-" + index);
        }

        String front() {
            return host + ":" + ports[0];
        }

        String ready() {
            return host + ":" + ports[1];
        }

        String control() {
            return host + ":" + ports[2];
        }

        /** Starts the process; {@code isFirstStart} is true only when the whole system starts for the first time. */
        void start(boolean isFirstStart) throws IOException {
            Files.writeString(settings, settingsText(isFirstStart));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("CASSIASPINDLE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        private List<String> command() {
            return runLine;
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** SIGKILL. */
        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        /** SIGTERM. */
        void terminate() {
            process.destroy();
        }

        String logText() throws IOException {
            return Files.readString(log, StandardCharsets.UTF_8);
        }

        private String settingsText(boolean isFirstStart) {
            StringBuilder seeds = new StringBuilder();
            for (int seed : seedsOf) {
                seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(hosts[seed]).append(':')
                    .append(ports[2]).append('"');
            }
            return "{\"NodeName\":\"front-zone-" + index + "\",\"Role\":\"entry\",\"MachineClass\":\"front\","
                + "\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":\"" + host + "\",\"Zone\":\"zone-" + index
                + "\",\"Region\":\"region\",\"Zones\":{\"zone-0\":\"region\",\"zone-1\":\"region\",\"zone-2\":\"region\"},"
                + "\"Listen\":{\"Front\":\"" + front() + "\",\"Ready\":\"" + ready() + "\",\"Control\":\"" + control()
                + "\",\"Directory\":\"" + host + ":" + ports[3] + "\"},\"InternalPorts\":[" + ports[4] + "," + ports[5]
                + "],\"Seeds\":[" + seeds + "],\"Bootstrap\":" + isFirstStart + ",\"CountsAsLoss\":true,"
                + "\"Limits\":{\"CpuShare\":0.675,\"CpuCores\":2,\"MemoryMb\":430,\"MaxFds\":4100,\"LinkMbps\":1000.0,"
                + "\"DiskMb\":64},\"DataDir\":\"" + dataFolder + "\",\"Discovery\":\"registration\","
                + "\"Entry\":\"directory\",\"HeartbeatMs\":1200,\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\","
                + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"layers\"],\"FaultTolerance\":{\"Machines\":1,"
                + "\"Zones\":0,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,\"AddressReuseS\":2,"
                + "\"ConnectivityWindowMs\":3000,\"AckTimeoutMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,"
                + "\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,"
                + "\"FailClosed\":false,\"RevokeMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,"
                + "\"RetryBudgetSlack\":208,\"RecoveryS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"stall_ms\":2000,"
                + "\"FencingEnforced\":false,\"ttl_max_s\":5},\"ConfigMode\":\"highest\"}";
        }
    }
}
