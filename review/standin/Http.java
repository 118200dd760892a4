import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {
    private Http() {}

    /** A request or a response; the first line is not split. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends one request on a new connection; throws an IOException if no whole response arrives in time. */
    static Message call(
            String address, String method, String path, Map<String, String> headers, String body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(endpoint(address), Math.min(timeoutMs, 1000));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.putIfAbsent("Host", address);
            all.put("Connection", "close");
            if (!body.isEmpty() || !method.equals("GET")) {
                all.put("Content-Length", String.valueOf(body.getBytes(StandardCharsets.UTF_8).length));
            }
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body);
            Message response = read(socket.getInputStream());
            if (response == null) throw new EOFException("closed without a response");
            return response;
        }
    }

    static InetSocketAddress endpoint(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static void write(OutputStream output, String line, Map<String, String> headers, String body) throws IOException {
        StringBuilder text = new StringBuilder(line).append("\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        text.append("\r\n").append(body);
        output.write(text.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Reads a message with a length, chunks or neither; null if the connection ends before it. */
    static Message read(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = readLine(input); next == null || !next.isEmpty(); next = readLine(input)) {
            if (next == null) throw new EOFException("closed within a head");
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(), next.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int size = chunkSize(input);
            while (size > 0) {
                body.write(readFully(input, size));
                readLine(input);
                size = chunkSize(input);
            }
            readLine(input);
        } else if (headers.containsKey("content-length")) {
            body.write(readFully(input, Integer.parseInt(headers.get("content-length"))));
        }
        return new Message(line, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) throw new EOFException("closed between chunks");
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] readFully(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("closed within a body");
        return bytes;
    }

    static String readLine(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') text.append((char) next);
            next = input.read();
        }
        return next < 0 && text.length() == 0 ? null : text.toString();
    }
}
