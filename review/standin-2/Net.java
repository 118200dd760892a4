import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 client and message reader for the stand-ins. */
final class Net {
    private Net() {}

    /** A message: its first line, headers (names in lower case) and whole body. */
    static final class Message {
        final String firstLine;
        final Map<String, String> headers;
        final byte[] body;

        Message(String firstLine, Map<String, String> headers, byte[] body) {
            this.firstLine = firstLine;
            this.headers = headers;
            this.body = body;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Socket connect(String address, int connectMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            connectMillis);
        return socket;
    }

    /** Sends one request on a new connection and reads the response; throws if there is no whole one in time. */
    static Message call(String address, String method, String path, String headers, byte[] body, int timeoutMillis)
        throws IOException {
        try (Socket socket = connect(address, Math.min(timeoutMillis, 1_000))) {
            socket.setSoTimeout(timeoutMillis);
            String head = method + " " + path + " HTTP/1.1\r\n" + (headers.startsWith("Host:") ? "" : "Host: " + address + "\r\n") + headers
                + "Content-Length: " + body.length + "\r\nConnection: close\r\n\r\n";
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.UTF_8));
            output.write(body);
            output.flush();
            return read(socket.getInputStream());
        }
    }

    /** Reads one message; returns null if the connection ends before its first byte. */
    static Message read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(input); ; line = line(input)) {
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, body(input, headers, first.startsWith("HTTP/")));
    }

    private static byte[] body(InputStream input, Map<String, String> headers, boolean isResponse) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) throw new EOFException("the connection ended within a chunked body");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                whole.write(exactly(input, length));
                line(input);
                if (length == 0) return whole.toByteArray();
            }
        }
        String length = headers.get("content-length");
        if (length != null) return exactly(input, Integer.parseInt(length));
        return isResponse ? input.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended within a body");
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** A port that is free on all of the addresses at the moment. */
    static int freePort(String... hosts) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port;
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(hosts[0]))) {
                port = probe.getLocalPort();
            }
            boolean isFree = true;
            for (String host : hosts) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    isFree = isFree && probe.isBound();
                } catch (IOException taken) {
                    isFree = false;
                }
            }
            if (isFree) return port;
        }
        throw new IOException("no free port");
    }
}
