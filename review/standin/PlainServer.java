import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound server of a plain service: announces itself, runs requests at once and counts them by id. */
final class PlainServer {
    final String id;
    final String service;
    final String zone;
    final String address;
    /** How often each request id has run here. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final long born = System.currentTimeMillis();
    private final ServerSocket socket;
    private final List<String> controls;
    private final Record record;
    private volatile boolean announces = true;
    private int sequence;

    PlainServer(String id, String service, String zone, String ip, List<String> controls, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.controls = controls;
        this.record = record;
        socket = new ServerSocket(0, 200, InetAddress.getByName(ip));
        address = ip + ":" + socket.getLocalPort();
        daemon(this::accept);
        daemon(this::announceAlways);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket accepted = socket.accept();
                daemon(() -> serve(accepted));
            } catch (IOException problem) {
                record.add("server " + id + " can't accept: " + problem);
            }
        }
    }

    private void serve(Socket accepted) {
        try (Socket open = accepted) {
            open.setTcpNoDelay(true);
            for (Http.Message request = Http.read(open.getInputStream()); request != null;
                    request = Http.read(open.getInputStream())) {
                answer(open, request);
            }
        } catch (IOException | RuntimeException problem) {
            // The caller has closed the connection.
        }
    }

    private void answer(Socket open, Http.Message request) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String requestId = request.header("Request-Id");
        String expected = request.header("Expect-Instance");
        if (requestId != null) headers.put("Request-Id", requestId);
        headers.put("Keep-Alive", "timeout=5");
        String path = request.line().split(" ")[1];
        String body;
        String status;
        if (path.equals("/healthz")) {
            headers.put("Instance-Id", id);
            status = "200 OK";
            body = "";
        } else if (path.equals("/api/report")) {
            headers.put("Content-Type", "application/json");
            status = "200 OK";
            body = "{\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":0,\"Handles\":0}";
        } else if (expected != null && !expected.equals(id)) {
            headers.put("Not-Run", "1");
            status = "421 Misdirected Request";
            body = "";
        } else if (requestId == null) {
            headers.put("Not-Run", "1");
            status = "400 Bad Request";
            body = "";
        } else {
            runs.merge(requestId, 1, Integer::sum);
            record.add("server " + id + " of " + service + " runs " + requestId);
            headers.put("Server-Stamp", "stamp-" + id + "-" + requestId);
            status = "200 OK";
            body = "from " + service;
        }
        headers.put("Content-Length", String.valueOf(body.length()));
        Http.write(open.getOutputStream(), "HTTP/1.1 " + status, headers, body);
    }

    private void announceAlways() {
        int next = Math.floorMod(id.hashCode(), controls.size());
        while (announces) {
            boolean done = false;
            for (int tries = 0; !done && tries < controls.size(); tries++) {
                done = announce(controls.get(next), "ready");
                if (!done) next = (next + 1) % controls.size();
            }
            pause(1200);
        }
    }

    /** Ends the announcements; the server goes on serving. */
    void stopAnnouncing() {
        announces = false;
    }

    /** Tells [control] that the server leaves; returns whether that was acknowledged. */
    boolean leave(String control) {
        int status;
        try {
            status = Http.call(control, "DELETE", "/api/instances/" + id, Map.of(), "", 1000).status();
        } catch (IOException problem) {
            status = 0;
        }
        record.add("server " + id + " sent its leave to " + control + ", answer " + status);
        return status / 100 == 2;
    }

    /** Announces once more that the server is ready. */
    boolean announceReady(String control) {
        boolean acknowledged = announce(control, "ready");
        record.add("server " + id + " sent an announcement as ready to " + control + ", acknowledged: " + acknowledged);
        return acknowledged;
    }

    private synchronized boolean announce(String control, String state) {
        String body = String.format(
                "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":6,"
                        + "\"State\":\"%s\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%d}",
                service, address, zone, state, ++sequence, born);
        try {
            return Http.call(control, "PUT", "/api/instances/" + id, Map.of(), body, 1000)
                    .status() / 100 == 2;
        } catch (IOException problem) {
            return false;
        }
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
