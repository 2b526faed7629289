/* eslint-disable -- plain JavaScript without types */
/** HTTP with MessagePack bodies, for all stand-ins. */
import http from 'node:http';
import net from 'node:net';
import { decode, encode } from '@msgpack/msgpack';

/** The loopback address of this test, so that tests which run at the same time do not meet. */
export const HOST = `127.${64 + ((process.pid >> 16) & 63)}.${(process.pid >> 8) & 255}.${process.pid & 255}`;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export const pack = (value) => {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/** Finds ports that nothing listens on, below those that outgoing connections get. */
export async function freePorts(count) {
  const ports = [];
  for (let port = 10_000 + Math.floor(Math.random() * 15_000); ports.length < count; port++) {
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!isFree) continue;
    ports.push(port);
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}

/** Serves `handle(method, path, body, reply)` on a free port. */
export async function serve(handle) {
  const server = http.createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      const payload = Buffer.concat(chunks);
      const reply = (status, body) => {
        if (res.destroyed || res.headersSent) return;
        const bytes = pack(body);
        res.writeHead(status, {
          'content-type': 'application/msgpack',
          'content-length': bytes.length,
        });
        res.end(bytes);
      };
      let body = null;
      try {
        body = payload.length > 0 ? decode(payload) : null;
      } catch {
        return reply(400, { error: 'malformed' });
      }
      handle(req.method, req.url, body, reply);
    });
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return {
    port: server.address().port,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends a request; resolves to `{ status, body }`, or `{ status: 0 }` if no response came. */
export function call({ port, method = 'GET', path, body, raw, timeout = 5000, agent }) {
  return new Promise((resolve) => {
    const payload = raw ?? (body === undefined ? null : pack(body));
    const req = http.request(
      {
        host: HOST,
        port,
        method,
        path,
        agent: agent ?? new http.Agent(),
        headers: payload
          ? { 'content-type': 'application/msgpack', 'content-length': payload.length }
          : {},
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => finish({ status: 0, body: null, error: 'reset' }));
        res.on('end', () => {
          const bytes = Buffer.concat(chunks);
          let decoded = null;
          try {
            decoded = bytes.length > 0 ? decode(bytes) : null;
          } catch {
            // A body that can't be read counts as none.
          }
          finish({ status: res.statusCode, body: decoded });
        });
      },
    );
    const timer = setTimeout(() => {
      finish({ status: 0, body: null, error: 'timeout' });
      req.destroy();
    }, timeout);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('error', (error) => finish({ status: 0, body: null, error: error.code }));
    req.end(payload ?? undefined);
  });
}
