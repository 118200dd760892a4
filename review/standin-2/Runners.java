import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Sound runners of a plain service, which announce themselves, drain before they end, and close connections that were
 * idle for three seconds. One thread serves the sockets of all.
 */
final class Runners implements AutoCloseable {
    private static final int IDLE_MILLIS = 3_000;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int DRAIN_MILLIS = 2_000;

    private final String service;
    private final int slots;
    private final int workMillis;
    private final List<String> controls;
    private final Selector selector = Selector.open();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final AtomicInteger nextHost = new AtomicInteger();
    private final AtomicInteger nextControl = new AtomicInteger();
    private final int network = 16 + (int) (ProcessHandle.current().pid() % 200);
    final AtomicLong answered = new AtomicLong();
    final Set<Runner> running = ConcurrentHashMap.newKeySet();
    private volatile boolean isClosed;

    /** What the runners answer to a request that they have run; by its path. */
    volatile Function<String, String> statusOf = path -> "200 OK";

    /** Told the id of each request that a runner begins to run, with its method, path and body. */
    volatile Consumer<Run> onRun = run -> { };

    Runners(String service, int slots, int workMillis, List<String> controls) throws IOException {
        this(service, slots, workMillis, controls, 0);
    }

    /** The runners take addresses from the host number {@code firstHost} on. */
    Runners(String service, int slots, int workMillis, List<String> controls, int firstHost) throws IOException {
        nextHost.set(firstHost);
        this.service = service;
        this.slots = slots;
        this.workMillis = workMillis;
        this.controls = controls;
        Thread thread = new Thread(this::serve, "runners");
        thread.setDaemon(true);
        thread.start();
    }

    /** A request that a runner runs. */
    static final class Run {
        final String id;
        final String method;
        final String path;
        final String body;

        Run(String id, String method, String path, String body) {
            this.id = id;
            this.method = method;
            this.path = path;
            this.body = body;
        }
    }

    /** Starts a runner at an address of its own. */
    Runner start() throws IOException {
        int number = nextHost.getAndIncrement();
        Runner runner = new Runner("127.78." + network + "." + (1 + number % 250), "i-" + network + "-" + number);
        running.add(runner);
        runner.beat();
        return runner;
    }

    private static final class Due {
        final long at;
        final Runnable action;

        Due(long at, Runnable action) {
            this.at = at;
            this.action = action;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void serve() {
        while (!isClosed) {
            try {
                long wait = due.isEmpty() ? 20 : Math.max(1, Math.min(20, due.peek().at - now()));
                selector.select(wait);
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) task.run();
                for (SelectionKey key : selector.selectedKeys()) {
                    if (!key.isValid()) continue;
                    if (key.isAcceptable()) ((Runner) key.attachment()).accept();
                    else if (key.isReadable()) ((Connection) key.attachment()).read();
                }
                selector.selectedKeys().clear();
                while (!due.isEmpty() && due.peek().at <= now()) due.poll().action.run();
            } catch (ClosedSelectorException ended) {
                return;
            } catch (IOException problem) {
                System.err.println("runners: " + problem);
            }
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        timer.shutdownNow();
        selector.wakeup();
        for (Runner runner : running) runner.server.close();
        for (SelectionKey key : selector.keys()) key.channel().close();
        selector.close();
    }

    /** One start of a runner. */
    final class Runner {
        final String id;
        final String address;
        private final ServerSocketChannel server = ServerSocketChannel.open();
        private final long born = System.currentTimeMillis();
        private final AtomicLong sequence = new AtomicLong();
        private final List<Connection> connections = new ArrayList<>();
        private volatile boolean isLeaving;

        Runner(String host, String id) throws IOException {
            this.id = id;
            server.configureBlocking(false);
            server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
            address = host + ":" + ((InetSocketAddress) server.getLocalAddress()).getPort();
            run(() -> {
                try {
                    server.register(selector, SelectionKey.OP_ACCEPT, this);
                } catch (IOException problem) {
                    System.err.println("runners: " + problem);
                }
            });
        }

        private void run(Runnable task) {
            tasks.add(task);
            selector.wakeup();
        }

        private void beat() {
            timer.schedule(() -> {
                if (isLeaving || isClosed) return;
                announce("PUT", "ready");
                beat();
            }, sequence.get() == 0 ? 0 : HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Calls one machine after the other until one acknowledges. */
        private boolean announce(String method, String state) {
            String body = "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"zone-0\",\"Version\":"
                + "\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":"
                + sequence.incrementAndGet() + ",\"born\":" + born + "}";
            byte[] bytes = method.equals("PUT") ? body.getBytes(StandardCharsets.UTF_8) : new byte[0];
            for (int attempt = 0; attempt < 6 && !isClosed; attempt++) {
                String control = controls.get(Math.floorMod(nextControl.getAndIncrement(), controls.size()));
                try {
                    Net.Message answer =
                        Net.call(control, method, "/api/instances/" + id, "Content-Type: application/json\r\n", bytes, 1_000);
                    if (answer != null && answer.status() / 100 == 2) return true;
                } catch (IOException notAnswered) {
                    // The next machine is called.
                }
            }
            return false;
        }

        /** Reports that it leaves, serves on for a while, says that it is gone and ends. */
        void leave() {
            isLeaving = true;
            timer.execute(() -> {
                announce("PUT", "draining");
                timer.schedule(() -> {
                    announce("DELETE", "");
                    end();
                }, DRAIN_MILLIS + 500, TimeUnit.MILLISECONDS);
            });
        }

        private void end() {
            running.remove(this);
            run(() -> {
                try {
                    server.close();
                    for (Connection connection : List.copyOf(connections)) connection.close();
                } catch (IOException problem) {
                    System.err.println("runners: " + problem);
                }
            });
        }

        private void accept() throws IOException {
            for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
                channel.configureBlocking(false);
                channel.socket().setTcpNoDelay(true);
                Connection connection = new Connection(this, channel);
                connections.add(connection);
                channel.register(selector, SelectionKey.OP_READ, connection);
                connection.expectRequest();
            }
        }
    }

    /** A connection, which carries one request at a time. */
    private final class Connection {
        private final Runner runner;
        private final SocketChannel channel;
        private final ByteBuffer input = ByteBuffer.allocate(32 * 1024);
        private long idleSince;

        Connection(Runner runner, SocketChannel channel) {
            this.runner = runner;
            this.channel = channel;
        }

        private void expectRequest() {
            long since = now();
            idleSince = since;
            due.add(new Due(since + IDLE_MILLIS, () -> {
                if (idleSince == since) close();
            }));
        }

        private void close() {
            idleSince = -1;
            runner.connections.remove(this);
            try {
                channel.close();
            } catch (IOException problem) {
                System.err.println("runners: " + problem);
            }
        }

        private void read() {
            try {
                int count = channel.read(input);
                if (count < 0) {
                    close();
                    return;
                }
            } catch (IOException broken) {
                close();
                return;
            }
            String text = new String(input.array(), 0, input.position(), StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) return;
            Map<String, String> headers = new ConcurrentHashMap<>();
            for (String line : text.substring(0, end).split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && !line.contains(" HTTP/1.1")) {
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
                }
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (input.position() < end + 4 + length) return;
            String body = new String(input.array(), end + 4, length, StandardCharsets.UTF_8);
            input.clear();
            idleSince = -1;
            String method = text.split(" ")[0];
            String path = text.split(" ")[1];
            boolean isMeant = runner.id.equals(headers.getOrDefault("expect-instance", runner.id));
            boolean isWork = isMeant && !path.startsWith("/api/");
            if (isWork) onRun.accept(new Run(headers.getOrDefault("request-id", "-"), method, path, body));
            String status = isMeant ? statusOf.apply(path) : "421 Misdirected Request\r\nNot-Run: 1";
            due.add(new Due(now() + (isWork ? workMillis : 1), () -> answer(headers, status)));
        }

        private void answer(Map<String, String> headers, String status) {
            if (!channel.isOpen()) return;
            String id = headers.getOrDefault("request-id", "-");
            String body = "ok " + id;
            String head = "HTTP/1.1 " + status + "\r\nRequest-Id: "
                + id + "\r\nServer-Stamp: s." + id + "\r\nKeep-Alive: timeout=" + IDLE_MILLIS / 1_000
                + (runner.isLeaving ? "\r\nServer-Leaving: 1\r\nConnection: close" : "") + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
            try {
                ByteBuffer output = ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1));
                while (output.hasRemaining()) channel.write(output);
                answered.incrementAndGet();
                if (runner.isLeaving) close();
                else expectRequest();
            } catch (IOException broken) {
                close();
            }
        }
    }
}
