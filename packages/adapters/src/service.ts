/** A running node. */
import type { OperatorSettings, Settings } from '@tealdock/wire';
import {
  CLOUD_SOCKET_COUNT,
  Controller,
  STATE_SOCKET_COUNT,
  WORKER_SOCKET_COUNT,
  socketShares,
  type Stats,
  type Call,
  type CallResult,
  type Command,
  type Effect,
  type Log,
  type Random,
} from '@tealdock/controller';
import { CallGates } from './call-gates.js';
import { CommandQueue } from './command-queue.js';
import { Connections } from './connections.js';
import { HttpClient, splitAddress } from './http-client.js';
import { HttpFront, type Respond } from './http-server.js';
import { PeerLink } from './peer-link.js';
import { Usage } from './usage.js';

const USAGE_EVERY = 30_000;
/** What a node is made from. */
export interface ServiceParts {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
  stats: Stats;
}

/** A running node: adapters around the one owner of state. */
export class Service {
  private readonly controller: Controller;
  private readonly front: HttpFront;
  private readonly connections: Connections;
  private readonly peers: PeerLink;
  private readonly stateHttp = new HttpClient(STATE_SOCKET_COUNT);
  private readonly cloudHttp = new HttpClient(CLOUD_SOCKET_COUNT);
  private readonly workerHttp = new HttpClient(WORKER_SOCKET_COUNT, false);
  private readonly gates: CallGates;
  private readonly responders = new Map<number, Respond>();
  private readonly queue = new CommandQueue();
  private scheduled = false;
  private timer: NodeJS.Timeout | null = null;
  private lastRequest = 0;

  constructor(private readonly parts: ServiceParts) {
    const { settings, log } = parts;
    this.controller = new Controller(parts);
    const now = () => performance.now();
    this.gates = new CallGates(settings, {
      now,
      wake: (delay, run) => void setTimeout(run, delay),
    });
    const shares = socketShares(settings);
    this.connections = new Connections(shares, settings.heartbeatInterval, now);
    this.front = new HttpFront(
      (method, path, body, respond) => this.request('public', method, path, body, respond),
      this.connections,
      shares,
    );
    this.peers = new PeerLink(
      settings.peers,
      {
        heartbeat: (message) => this.push(message),
        broadcast: (message) => this.push({ kind: 'leader_broadcast', message }),
        refused: (member) => this.push({ kind: 'peer_refused', member }),
        ask: (m, respond) =>
          this.request('peer', m.method, m.path, m.body, (r) => respond(r.status, r.body)),
      },
      log,
    );
  }

  start(failed: (error: Error) => void): void {
    const { settings, log } = this.parts;
    const ready = () => {
      log('info', { member: settings.member, address: settings.publicAddress }, 'listening');
      this.push({ kind: 'tick' });
    };
    this.front.listen(settings.publicAddress, ready, failed);
    this.peers.listen(settings.peerListenAddress, failed);
    const usage = new Usage(this.connections, this.parts.stats, log);
    setInterval(() => usage.note(), USAGE_EVERY).unref();
  }

  private request(
    via: 'public' | 'peer',
    method: string,
    path: string,
    body: Buffer,
    respond: Respond,
  ): void {
    const id = ++this.lastRequest;
    this.responders.set(id, respond);
    this.push({ kind: 'request', id, method, path, body, via });
  }

  private push(command: Command): void {
    this.queue.push(command);
    this.schedule();
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.run());
  }

  /** One batch of what has queued up; what is left comes after whatever is due meanwhile. */
  private run(): void {
    this.scheduled = false;
    const batch = this.queue.take();
    const began = performance.now();
    const effects = this.controller.process(batch, began, new Date());
    for (const effect of effects) this.carryOut(effect);
    this.parts.stats.record('batches.commands', batch.length);
    this.parts.stats.record('batches.took_ms', performance.now() - began);
    this.parts.stats.setGauge('batches.left', this.queue.length);
    if (this.queue.length > 0) this.schedule();
    this.plan();
  }

  private plan(): void {
    if (this.timer) clearTimeout(this.timer);
    const wanted = Math.max(1, this.controller.nextDue() - performance.now());
    const delay = Math.min(wanted, 1000);
    const due = performance.now() + delay;
    this.timer = setTimeout(() => {
      this.parts.stats.record('timers.late_ms', performance.now() - due);
      this.push({ kind: 'tick' });
    }, delay);
  }

  private carryOut(effect: Effect): void {
    if (effect.kind === 'reply') {
      this.responders.get(effect.id)?.(effect.reply);
      this.responders.delete(effect.id);
    } else if (effect.kind === 'heartbeat') {
      this.peers.heartbeat({ ...effect, member: this.parts.settings.member });
    } else if (effect.kind === 'broadcast') this.peers.broadcast(effect.message);
    else if (effect.kind === 'set_write_fraction') this.gates.setWriteFraction(effect.fraction);
    else this.call(effect.id, effect.call);
  }

  private call(id: number, call: Call): void {
    const done = (result: CallResult) => this.push({ kind: 'result', id, result });
    const drop = () => {
      this.parts.stats.count(`calls.${call.target}.dropped`);
      done({ kind: 'unsent' });
    };
    const asked = performance.now();
    const { stateAddress: stateAddr, cloudAddress: cloudAddr } = this.parts.settings;
    const send = (): void => {
      if (call.target === 'peer') return this.peers.ask(call, done);
      if (call.target === 'worker') return this.send(this.workerHttp, call.to, call, done);
      if (call.target === 'cloud') return this.send(this.cloudHttp, cloudAddr, call, done);
      this.parts.stats.record('calls.state.waited_ms', performance.now() - asked);
      this.send(this.stateHttp, stateAddr, call, done);
    };
    this.gates.pass(call, send, drop);
  }

  private send(
    client: HttpClient,
    address: string,
    call: Call,
    done: (result: CallResult) => void,
  ): void {
    const { method, path, body, timeout } = call;
    client.send({ ...splitAddress(address), method, path, body, timeout }, (result) => {
      this.noteOutcome(call, result);
      done(result);
    });
  }

  private noteOutcome(call: Call, result: CallResult): void {
    const outcome = result.kind === 'answer' ? result.status : result.kind;
    this.parts.stats.count(`calls.${call.target}.${outcome}`);
    const fine = result.kind === 'answer' && result.status < 500 && result.status !== 429;
    if (fine) return;
    const { target, method, path } = call;
    this.parts.log('debug', { target, method, path, status: outcome }, 'call failed');
  }
}
