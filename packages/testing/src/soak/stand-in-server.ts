/** HTTP servers on loopback with MessagePack bodies, through which the stand-ins are reached. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CallResult } from '@tealdock/controller';
import { packBody, unpackBody } from '@tealdock/wire';
import { LOOPBACK } from './loopback.js';

/** Handles a request. If `done` gets a result other than an answer, no response is sent. */
export type RequestHandler = (
  method: string,
  path: string,
  body: unknown,
  done: (result: CallResult) => void,
) => void;

/** A listening server and its port. */
export interface StandInServer {
  server: Server;
  port: number;
}

function handleRequest(handle: RequestHandler, req: IncomingMessage, res: ServerResponse): void {
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

/** Starts a server on a free port of the run's loopback address. */
export async function serveStandIn(handle: RequestHandler): Promise<StandInServer> {
  const server = createServer({ noDelay: true, keepAliveTimeout: 0 }, (req, res) =>
    handleRequest(handle, req, res),
  );
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return { server, port: (server.address() as AddressInfo).port };
}

/** Closes a server and all its connections. */
export function closeStandIn({ server }: StandInServer): void {
  server.closeAllConnections();
  server.close();
}
