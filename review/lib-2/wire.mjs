/* eslint-disable @typescript-eslint/no-unsafe-argument --
   decoded bodies have no types in plain JavaScript */
/** HTTP with MessagePack bodies on loopback, for the stand-ins and users of the cases. */
import { createServer, Agent, request } from 'node:http';
import { decode, encode } from '@msgpack/msgpack';

/**
 * @typedef {{ status: number, body: any }} Answer
 * @typedef {(method: string, path: string, body: any, answer: (status: number, body: unknown) => void) => void} Handler
 */

const pack = (/** @type {unknown} */ value) => Buffer.from(encode(value));

/**
 * Serves a stand-in; a handler that does not answer leaves the request open.
 * @param {Handler} handle
 * @param {string} host
 */
export async function serve(handle, host = '127.0.0.1') {
  const server = createServer({ noDelay: true, keepAliveTimeout: 0 }, (req, res) => {
    /** @type {Buffer[]} */
    const chunks = [];
    req.on('error', () => res.destroy());
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      const body = chunks.length > 0 ? decode(Buffer.concat(chunks)) : null;
      handle(req.method ?? '', req.url ?? '', body, (status, value) => {
        if (res.destroyed || res.headersSent) return;
        const payload = pack(value);
        res.writeHead(status, {
          'content-type': 'application/msgpack',
          'content-length': payload.length,
        });
        res.end(payload);
      });
    });
  });
  await new Promise((resolve) => server.listen(0, host, () => resolve(null)));
  const address = /** @type {import('node:net').AddressInfo} */ (server.address());
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { address: `${host}:${address.port}`, close };
}

/** A client with one connection at a time, as a worker or a user has. */
export class Client {
  agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Closes its connection. */
  close() {
    this.agent.destroy();
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  /**
   * Sends a request; null without an answer in time.
   * @param {string} address
   * @param {string} method
   * @param {string} path
   * @param {unknown} body
   * @param {number} timeoutMs
   * @returns {Promise<Answer | null>}
   */
  call(address, method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const [host, port] = address.split(':');
      const payload = body === null ? null : pack(body);
      const headers = payload
        ? { 'content-type': 'application/msgpack', 'content-length': payload.length }
        : {};
      const outgoing = request({ agent: this.agent, host, port, method, path, headers });
      const finish = (/** @type {Answer | null} */ answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        finish(null);
        outgoing.destroy();
      }, timeoutMs);
      outgoing.on('error', () => finish(null));
      outgoing.on('response', (response) => {
        /** @type {Buffer[]} */
        const chunks = [];
        response.on('error', () => finish(null));
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          const answer = chunks.length > 0 ? decode(Buffer.concat(chunks)) : null;
          finish({ status: response.statusCode ?? 0, body: answer });
        });
      });
      outgoing.end(payload ?? undefined);
    });
  }
}
