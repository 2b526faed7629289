/** HTTP servers with MessagePack bodies for the stand-ins, on loopback. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CallResult } from '@tealdock/controller';
import { packBody, unpackBody } from '@tealdock/wire';
import { LOOPBACK } from './loopback.js';

/** Handles a request; a result other than an answer leaves the caller without any. */
export type Handler = (
  method: string,
  path: string,
  body: unknown,
  done: (result: CallResult) => void,
) => void;

/** A server that listens. */
export interface Listening {
  server: Server;
  port: number;
}

function receive(handle: Handler, req: IncomingMessage, res: ServerResponse): void {
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  req.on('error', () => res.destroy());
  req.on('end', () => {
    const body = chunks.length > 0 ? unpackBody(Buffer.concat(chunks)) : null;
    handle(req.method ?? '', req.url ?? '', body, (result) => {
      if (result.kind !== 'answer' || res.destroyed) return;
      const payload = packBody(result.body);
      res.writeHead(result.status, { 'content-length': payload.length });
      res.end(payload);
    });
  });
}

/** Serves on a free port of the loopback interface. */
export async function serveStandIn(handle: Handler): Promise<Listening> {
  const server = createServer({ noDelay: true, keepAliveTimeout: 0 }, (req, res) =>
    receive(handle, req, res),
  );
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return { server, port: (server.address() as AddressInfo).port };
}

/** Ends a stand-in with all its connections. */
export function closeStandIn({ server }: Listening): void {
  server.closeAllConnections();
  server.close();
}
