/** A running node: the state owner with its adapters. */
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
/** Bounds of the delay until a batch is processed although no command has arrived. */
const MIN_TICK_DELAY_MS = 1;
const MAX_TICK_DELAY_MS = 1000;

/** Settings and dependencies of a node. */
export interface ServiceDependencies {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
  stats: Stats;
}

/**
 * Runs a node. Adapters queue commands for the state owner, which processes them in batches, one
 * for each turn of the event loop. Its effects are carried out after each batch.
 */
export class Service {
  private readonly controller: Controller;
  private readonly server: PublicHttpServer;
  private readonly connections: Connections;
  private readonly peers: PeerLink;
  private readonly calls: OutgoingCalls;
  private readonly responders = new Map<number, Respond>();
  private readonly queue = new CommandQueue();
  private isBatchScheduled = false;
  private tickTimer: NodeJS.Timeout | null = null;
  private lastRequestId = 0;

  constructor(private readonly dependencies: ServiceDependencies) {
    const { settings, log, stats } = dependencies;
    this.controller = new Controller(dependencies);
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, () => performance.now());
    this.server = new PublicHttpServer(
      (method, path, body, respond) =>
        this.pushRequest({ via: 'public', method, path, body }, respond),
      this.connections,
      shares,
      stats,
      log,
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

  /** Runs until the process ends; rejects with `ListenError` if a server can't listen. */
  run(): Promise<never> {
    const { settings, log, stats } = this.dependencies;
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
    this.scheduleBatch();
  }

  private scheduleBatch(): void {
    if (this.isBatchScheduled) return;
    this.isBatchScheduled = true;
    setImmediate(() => this.processBatch());
  }

  /** Processes one batch; pending I/O events are handled before the next one. */
  private processBatch(): void {
    this.isBatchScheduled = false;
    const batch = this.queue.nextBatch();
    const startedAt = performance.now();
    const effects = this.controller.process(batch, startedAt, new Date());
    for (const effect of effects) this.executeEffect(effect);
    this.dependencies.stats.record('batches.commands', batch.length);
    this.dependencies.stats.record('batches.took_ms', performance.now() - startedAt);
    this.dependencies.stats.setGauge('batches.left', this.queue.length);
    if (this.queue.length > 0) this.scheduleBatch();
    this.scheduleTick();
  }

  /** Makes sure that the state owner runs its timers in time even if no command arrives. */
  private scheduleTick(): void {
    if (this.tickTimer) clearTimeout(this.tickTimer);
    const untilDue = Math.max(MIN_TICK_DELAY_MS, this.controller.nextDue() - performance.now());
    const delay = Math.min(untilDue, MAX_TICK_DELAY_MS);
    const dueAt = performance.now() + delay;
    this.tickTimer = setTimeout(() => {
      this.dependencies.stats.record('timers.late_ms', performance.now() - dueAt);
      this.push({ kind: 'tick' });
    }, delay);
  }

  private executeEffect(effect: Effect): void {
    switch (effect.kind) {
      case 'reply':
        this.responders.get(effect.id)?.(effect.reply);
        this.responders.delete(effect.id);
        return;
      case 'heartbeat':
        return this.peers.send({ ...effect, member: this.dependencies.settings.member });
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
