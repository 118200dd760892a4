import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A small deployment on loopback addresses, whose processes are started as deploy/system.toml says. */
final class Deployment implements AutoCloseable {
    static final List<String> ZONES = List.of("howrah", "salt-lake", "kalyani");

    /** One machine; all of them have the same ports. */
    final class Node {
        final String name;
        final String ip;
        final String zone;
        final boolean hasDisk;
        Process process;

        Node(String name, String ip, String zone, boolean hasDisk) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.hasDisk = hasDisk;
        }

        String front() {
            return ip + ":" + ports.get(0);
        }

        String ready() {
            return ip + ":" + ports.get(1);
        }

        String control() {
            return ip + ":" + ports.get(2);
        }

        String directory() {
            return ip + ":" + ports.get(3);
        }

        void start(boolean bootstrap) throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settingsOf(this, bootstrap));
            ProcessBuilder builder = new ProcessBuilder(runCommand()).directory(repository.toFile());
            builder.environment().put("CASSIASPINDLE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            started.add(process);
            record.add("started " + name + " bootstrap=" + bootstrap);
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
            record.add("sent SIG" + signal + " to " + name);
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Empties the disk of a machine whose process has ended. */
        void wipe() throws IOException {
            deleteTree(folder.resolve("data-" + name));
            record.add(name + " lost its disk");
        }

        boolean isReady() {
            try {
                return Http.call(ready(), "GET", "/api/ready", Map.of(), "", 1000).status() == 200;
            } catch (IOException problem) {
                return false;
            }
        }
    }

    final List<Node> nodes = new ArrayList<>();
    /** The machines whose control addresses stand in settings files that are written from now on. */
    List<Node> seeds;
    final Path folder;
    private final int net;
    private final Path repository;
    private final Record record;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Process> started = new CopyOnWriteArrayList<>();

    /** Lays out [machines] nodes over three zones; the first one of each zone has a disk. */
    Deployment(Path repository, int machines, Record record) throws IOException {
        this.repository = repository;
        this.record = record;
        folder = Files.createTempDirectory("cassiaspindle-review");
        net = ThreadLocalRandom.current().nextInt(10, 250);
        for (int index = 0; index < machines; index++) {
            int number = index / ZONES.size() + 1;
            nodes.add(newNode(index % ZONES.size(), number, number == 1));
        }
        seeds = withDisk();
        // Also if this process is ended from outside: no process that it started outlives it.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        while (ports.size() < 6) ports.add(freePort());
    }

    /** A machine that is not started yet. */
    Node newNode(int zone, int number, boolean hasDisk) {
        String name = "front-" + ZONES.get(zone) + "-" + number;
        return new Node(name, "127." + net + "." + (zone + 1) + "." + (10 + number), ZONES.get(zone), hasDisk);
    }

    /** The machines of the core that followed another one in the newest lines of their logs. */
    List<Node> followers() throws IOException {
        Pattern standing = Pattern.compile("at=(\\d+) event=replica_standing role=LEADER");
        Node leader = null;
        long newest = 0;
        for (Node node : withDisk()) {
            Matcher lines = standing.matcher(Files.readString(folder.resolve(node.name + ".log")));
            while (lines.find()) {
                long at = Long.parseLong(lines.group(1));
                if (at >= newest) {
                    newest = at;
                    leader = node;
                }
            }
        }
        Node last = leader;
        return withDisk().stream().filter(node -> node != last).toList();
    }

    List<Node> withDisk() {
        return nodes.stream().filter(node -> node.hasDisk).toList();
    }

    List<String> controls() {
        return nodes.stream().map(Node::control).toList();
    }

    private int freePort() throws IOException {
        while (true) {
            int candidate;
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(nodes.get(0).ip))) {
                candidate = probe.getLocalPort();
            }
            // Below the range of ephemeral ports, so that no outgoing connection takes it meanwhile.
            candidate = 15_000 + candidate % 15_000;
            if (!ports.contains(candidate) && isFreeOnAll(candidate)) return candidate;
        }
    }

    private boolean isFreeOnAll(int port) {
        for (Node node : nodes) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(node.ip))) {
                if (probe.getLocalPort() != port) return false;
            } catch (IOException taken) {
                return false;
            }
        }
        return true;
    }

    private List<String> runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        return List.of(run.group(1).split(" "));
    }

    private String settingsOf(Node node, boolean bootstrap) throws IOException {
        String seeds = this.seeds.stream().map(seed -> "\"" + seed.control() + "\"").collect(Collectors.joining(","));
        String data = "";
        if (node.hasDisk) {
            Path folderOfNode = folder.resolve("data-" + node.name);
            Files.createDirectories(folderOfNode);
            data = "\"DataDir\":\"" + folderOfNode + "\",";
        }
        return "{\"NodeName\":\"" + node.name + "\",\"Role\":\"entry\",\"MachineClass\":\"front\","
                + "\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":\"" + node.ip + "\",\"Zone\":\"" + node.zone
                + "\",\"Region\":\"bengal\",\"Zones\":{\"howrah\":\"bengal\",\"salt-lake\":\"bengal\",\"kalyani\":\"bengal\"},"
                + "\"Listen\":{\"Front\":\"" + node.front() + "\",\"Ready\":\"" + node.ready() + "\",\"Control\":\""
                + node.control() + "\",\"Directory\":\"" + node.directory() + "\"},"
                + "\"InternalPorts\":[" + ports.get(4) + "," + ports.get(5) + "],\"Seeds\":[" + seeds + "],"
                + "\"Bootstrap\":" + bootstrap + ",\"CountsAsLoss\":" + node.hasDisk + ","
                + "\"Limits\":{\"CpuShare\":0.75,\"CpuCores\":1,\"MemoryMb\":430,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":64},"
                + data + "\"Discovery\":\"registration\",\"Entry\":\"directory\",\"HeartbeatMs\":1200,"
                + "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"layers\"],"
                + "\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
                + "\"Bounds\":{\"SeedLagS\":3,\"AddressReuseS\":2,\"ConnectivityWindowMs\":3000,\"AckTimeoutMs\":4000,"
                + "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
                + "\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"FailClosed\":false,\"RevokeMs\":5000,"
                + "\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetryBudgetSlack\":208,\"RecoveryS\":12,\"PassMs\":120,"
                + "\"RetryAfterS\":0,\"stall_ms\":2000,\"FencingEnforced\":false,\"ttl_max_s\":5},\"ConfigMode\":\"highest\"}";
    }

    /** Sends [configuration] to [node]; returns the status, or 0 without a response. */
    int putConfiguration(Node node, String configuration, String what) {
        int status;
        try {
            status = Http.call(node.control(), "PUT", "/api/config", Map.of(), configuration, 1500).status();
        } catch (IOException problem) {
            status = 0;
        }
        record.add("operator sent " + what + " to " + node.name + ", answer " + status);
        return status;
    }

    /** Sends [configuration] to one node after the other until it is acknowledged or the time is over. */
    boolean configure(String configuration, String what, long timeoutMs) {
        long end = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < end) {
            for (Node node : nodes) {
                if (putConfiguration(node, configuration, what) == 200) return true;
            }
            PlainServer.pause(200);
        }
        return false;
    }

    /** Waits until all nodes say that they are ready. */
    boolean awaitReady(long timeoutMs) {
        long end = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < end) {
            if (nodes.stream().allMatch(Node::isReady)) return true;
            PlainServer.pause(100);
        }
        return false;
    }

    private void killAll() {
        for (Process process : started) process.destroyForcibly();
    }

    /** Ends the processes that this deployment has started, and removes its folder. */
    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) deleteTree(folder);
    }

    private static void deleteTree(Path root) throws IOException {
        try (Stream<Path> paths = Files.walk(root)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
        }
    }
}
