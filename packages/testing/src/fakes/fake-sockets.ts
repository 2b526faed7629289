/** The sockets of a simulated process. */
import type { Settings } from '@tealdock/wire';
import {
  CLOUD_SOCKET_COUNT,
  STATE_SOCKET_COUNT,
  WORKER_SOCKET_COUNT,
  socketShares,
} from '@tealdock/controller';
import { Connections, type Closable, type ClientKind } from '@tealdock/adapters';

/** A client's end of a connection. */
class ClientConnection implements Closable {
  constructor(
    private readonly sockets: FakeSockets,
    readonly client: string,
  ) {}

  destroy(): void {
    this.sockets.hangUp(this.client);
  }

  answered(): void {
    this.sockets.answered(this);
  }
}

/** Connections of clients to one process: they stay open until a side closes them. */
export class FakeSockets {
  maxCount = 0;
  turnedAwayCount = 0;
  private readonly connections: Connections;
  private readonly connectionsByClient = new Map<string, ClientConnection>();
  private readonly maxClientCount: number;
  /** Sockets of its own: calls at their most, and links to peers in both directions. */
  private readonly ownCount: number;

  constructor(settings: Settings, now: () => number) {
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, now);
    this.maxClientCount = shares.clients + shares.rejected;
    this.ownCount =
      STATE_SOCKET_COUNT + CLOUD_SOCKET_COUNT + WORKER_SOCKET_COUNT + settings.peers.length * 2 + 2;
  }

  tick(): void {
    this.connections.closeIdleConnections();
  }

  request(client: string, kind: ClientKind): ClientConnection | 'turned away' {
    const connection = this.connectionsByClient.get(client) ?? this.open(client);
    if (connection && this.connections.admitRequest(connection, kind)) return connection;
    this.turnedAwayCount++;
    connection?.destroy();
    return 'turned away';
  }

  answered(connection: ClientConnection): void {
    this.connections.requestAnswered(connection);
  }

  hangUp(client: string): void {
    const connection = this.connectionsByClient.get(client);
    if (connection) this.connections.connectionClosed(connection);
    this.connectionsByClient.delete(client);
  }

  private open(client: string): ClientConnection | null {
    if (this.connectionsByClient.size >= this.maxClientCount) return null;
    const connection = new ClientConnection(this, client);
    this.connectionsByClient.set(client, connection);
    this.connections.connectionOpened(connection);
    this.maxCount = Math.max(this.maxCount, this.connectionsByClient.size + this.ownCount);
    return connection;
  }
}
