/** The sockets of a simulated process. */
import type { Settings } from '@tealdock/wire';
import {
  CLOUD_SOCKET_COUNT,
  STATE_SOCKET_COUNT,
  WORKER_SOCKET_COUNT,
  socketShares,
} from '@tealdock/controller';
import { Connections, type Closable, type Holder } from '@tealdock/adapters';

/** A client's end of a connection. */
class Line implements Closable {
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
  most = 0;
  turnedAway = 0;
  private readonly connections: Connections;
  private readonly lines = new Map<string, Line>();
  private readonly room: number;
  /** Sockets of its own: calls at their most, and links to peers in both directions. */
  private readonly own: number;

  constructor(settings: Settings, now: () => number) {
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, now);
    this.room = shares.clients + shares.rejected;
    this.own =
      STATE_SOCKET_COUNT + CLOUD_SOCKET_COUNT + WORKER_SOCKET_COUNT + settings.peers.length * 2 + 2;
  }

  tick(): void {
    this.connections.sweep();
  }

  ask(client: string, holder: Holder): Line | 'turned away' {
    const line = this.lines.get(client) ?? this.open(client);
    if (line && this.connections.asked(line, holder)) return line;
    this.turnedAway++;
    line?.destroy();
    return 'turned away';
  }

  answered(line: Line): void {
    this.connections.answered(line);
  }

  hangUp(client: string): void {
    const line = this.lines.get(client);
    if (line) this.connections.closed(line);
    this.lines.delete(client);
  }

  private open(client: string): Line | null {
    if (this.lines.size >= this.room) return null;
    const line = new Line(this, client);
    this.lines.set(client, line);
    this.connections.opened(line);
    this.most = Math.max(this.most, this.lines.size + this.own);
    return line;
  }
}
