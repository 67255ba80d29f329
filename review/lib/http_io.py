"""HTTP/1.1 on plain sockets, so that stand-ins control every byte."""
import socket


class Closed(Exception):
    """The other side closed or reset the connection."""


class Wire:
    """A connection, read by lines and lengths."""

    def __init__(self, link):
        self.link, self.buffer = link, b""
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        try:
            data = self.link.recv(65536)
        except socket.timeout:
            raise
        except OSError as error:
            raise Closed(str(error)) from error
        if not data:
            raise Closed("end of the connection")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Returns the start line and the headers, with names in lower case."""
        start, headers = self.line(), []
        while line := self.line():
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        return start, headers

    def body(self, headers, has_body=True):
        """Returns the body that the headers announce."""
        fields = dict(headers)
        if not has_body:
            return b""
        if "chunked" in fields.get("transfer-encoding", ""):
            data = b""
            while size := int(self.line().split(";")[0], 16):
                data += self.exactly(size)
                self.exactly(2)
            while self.line():
                pass
            return data
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        return None

    def send(self, data):
        try:
            self.link.sendall(data)
        except OSError as error:
            raise Closed(str(error)) from error

    def close(self):
        self.link.close()


def connect(address, timeout_s):
    host, port = address.rsplit(":", 1)
    link = socket.create_connection((host, int(port)), timeout_s)
    link.settimeout(timeout_s)
    return Wire(link)
