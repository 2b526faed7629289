/** A running node. */
import type { OperatorSettings, Settings } from '@tealdock/wire';
import {
  Controller,
  socketShares,
  type Command,
  type Effect,
  type Log,
  type Random,
  type Stats,
} from '@tealdock/controller';
import { CommandQueue } from './command-queue.js';
import { Connections } from './connections.js';
import { PublicHttpServer, type Respond } from './http-server.js';
import { OutgoingCalls } from './outgoing-calls.js';
import { PeerLink } from './peer-link.js';
import { ResourceUsage } from './resource-usage.js';

const USAGE_REPORT_INTERVAL_MS = 30_000;
/** Bounds of the time until the state owner's next turn without commands. */
const MIN_TICK_DELAY_MS = 1;
const MAX_TICK_DELAY_MS = 1000;

/** What a node is made from. */
export interface ServiceParts {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
  stats: Stats;
}

/**
 * A running node: adapters around the one state owner. Commands queue up for it and are
 * processed in batches, one turn of the event loop each; its effects are carried out after
 * the batch.
 */
export class Service {
  private readonly controller: Controller;
  private readonly server: PublicHttpServer;
  private readonly connections: Connections;
  private readonly peers: PeerLink;
  private readonly calls: OutgoingCalls;
  private readonly responders = new Map<number, Respond>();
  private readonly queue = new CommandQueue();
  private isTurnScheduled = false;
  private tickTimer: NodeJS.Timeout | null = null;
  private lastRequestId = 0;

  constructor(private readonly parts: ServiceParts) {
    const { settings, log, stats } = parts;
    this.controller = new Controller(parts);
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, () => performance.now());
    this.server = new PublicHttpServer(
      (method, path, body, respond) =>
        this.pushRequest({ via: 'public', method, path, body }, respond),
      this.connections,
      shares,
    );
    this.peers = new PeerLink(
      settings.peers,
      {
        onHeartbeat: (message) => this.push(message),
        onBroadcast: (message) => this.push({ kind: 'leader_broadcast', message }),
        onConnectionRefused: (member) => this.push({ kind: 'peer_refused', member }),
        onRequest: ({ method, path, body }, respond) =>
          this.pushRequest({ via: 'peer', method, path, body }, (reply) =>
            respond(reply.status, reply.body),
          ),
      },
      log,
    );
    this.calls = new OutgoingCalls({ settings, peers: this.peers, log, stats });
  }

  /** Runs until the process ends; rejects with `ListenError` when a listener fails. */
  run(): Promise<never> {
    const { settings, log, stats } = this.parts;
    const usage = new ResourceUsage(this.connections, stats, log);
    const onListening = () => {
      log('info', { member: settings.member, address: settings.publicAddress }, 'listening');
      this.push({ kind: 'tick' });
    };
    return new Promise((_resolve, onFailure) => {
      this.server.listen(settings.publicAddress, { onListening, onFailure });
      this.peers.listen(settings.peerListenAddress, onFailure);
      setInterval(() => usage.report(), USAGE_REPORT_INTERVAL_MS).unref();
    });
  }

  private pushRequest(
    request: Pick<Extract<Command, { kind: 'request' }>, 'via' | 'method' | 'path' | 'body'>,
    respond: Respond,
  ): void {
    const id = ++this.lastRequestId;
    this.responders.set(id, respond);
    this.push({ kind: 'request', id, ...request });
  }

  private push(command: Command): void {
    this.queue.push(command);
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => this.takeTurn());
  }

  /** Processes one batch; other events come before the next one. */
  private takeTurn(): void {
    this.isTurnScheduled = false;
    const batch = this.queue.nextBatch();
    const startedAt = performance.now();
    const effects = this.controller.process(batch, startedAt, new Date());
    for (const effect of effects) this.carryOut(effect);
    this.parts.stats.record('batches.commands', batch.length);
    this.parts.stats.record('batches.took_ms', performance.now() - startedAt);
    this.parts.stats.setGauge('batches.left', this.queue.length);
    if (this.queue.length > 0) this.scheduleTurn();
    this.scheduleTick();
  }

  /** The state owner gets a turn when it next has something to do, commands or not. */
  private scheduleTick(): void {
    if (this.tickTimer) clearTimeout(this.tickTimer);
    const untilDue = Math.max(MIN_TICK_DELAY_MS, this.controller.nextDue() - performance.now());
    const delay = Math.min(untilDue, MAX_TICK_DELAY_MS);
    const dueAt = performance.now() + delay;
    this.tickTimer = setTimeout(() => {
      this.parts.stats.record('timers.late_ms', performance.now() - dueAt);
      this.push({ kind: 'tick' });
    }, delay);
  }

  private carryOut(effect: Effect): void {
    switch (effect.kind) {
      case 'reply':
        this.responders.get(effect.id)?.(effect.reply);
        this.responders.delete(effect.id);
        return;
      case 'heartbeat':
        return this.peers.send({ ...effect, member: this.parts.settings.member });
      case 'broadcast':
        return this.peers.send(effect.message);
      case 'set_write_fraction':
        return this.calls.setWriteFraction(effect.fraction);
      case 'call':
        return this.calls.send(effect.call, (result) =>
          this.push({ kind: 'result', id: effect.id, result }),
        );
    }
  }
}
