/** Simulated sockets of a controller process. */
import type { Settings } from '@tealdock/wire';
import {
  CLOUD_SOCKET_COUNT,
  STATE_SOCKET_COUNT,
  WORKER_SOCKET_COUNT,
  socketShares,
} from '@tealdock/controller';
import { Connections, type Closable, type ClientKind } from '@tealdock/adapters';

/** A client's connection to the process. */
class ClientConnection implements Closable {
  constructor(
    private readonly sockets: FakeSockets,
    readonly client: string,
  ) {}

  destroy(): void {
    this.sockets.closeConnectionOf(this.client);
  }

  markAnswered(): void {
    this.sockets.markAnswered(this);
  }
}

/**
 * Client connections of one process, admitted and closed by the production rules (`Connections`).
 * A connection stays open until the client or the process closes it.
 */
export class FakeSockets {
  /** The largest number of sockets open at the same time, including `ownSocketCount`. */
  maxCount = 0;
  /** Requests that were rejected for lack of a socket. */
  rejectedRequestCount = 0;
  private readonly connections: Connections;
  private readonly connectionsByClient = new Map<string, ClientConnection>();
  private readonly maxClientCount: number;
  /**
   * Upper bound of the sockets that the process itself uses: outgoing calls, a link to and one
   * from each peer, and two listening sockets.
   */
  private readonly ownSocketCount: number;

  constructor(settings: Settings, now: () => number) {
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, now);
    this.maxClientCount = shares.clients + shares.rejected;
    this.ownSocketCount =
      STATE_SOCKET_COUNT + CLOUD_SOCKET_COUNT + WORKER_SOCKET_COUNT + settings.peers.length * 2 + 2;
  }

  /** Closes idle connections. */
  tick(): void {
    this.connections.closeIdleConnections();
  }

  /** Sends a request over the client's connection, which is opened if there is none. */
  request(client: string, kind: ClientKind): ClientConnection | 'rejected' {
    const connection = this.connectionsByClient.get(client) ?? this.open(client);
    if (connection && this.connections.admitRequest(connection, kind)) return connection;
    this.rejectedRequestCount++;
    connection?.destroy();
    return 'rejected';
  }

  markAnswered(connection: ClientConnection): void {
    this.connections.requestAnswered(connection);
  }

  /** The client or the process closes the connection. */
  closeConnectionOf(client: string): void {
    const connection = this.connectionsByClient.get(client);
    if (connection) this.connections.connectionClosed(connection);
    this.connectionsByClient.delete(client);
  }

  /** Null if the process accepts no more connections. */
  private open(client: string): ClientConnection | null {
    if (this.connectionsByClient.size >= this.maxClientCount) return null;
    const connection = new ClientConnection(this, client);
    this.connectionsByClient.set(client, connection);
    this.connections.connectionOpened(connection);
    this.maxCount = Math.max(this.maxCount, this.connectionsByClient.size + this.ownSocketCount);
    return connection;
  }
}
