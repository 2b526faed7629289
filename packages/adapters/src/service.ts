import type { OperatorSettings, Settings } from '@tealdock/wire';
import {
  Controller,
  type Stats,
  type Call,
  type CallResult,
  type Command,
  type Effect,
  type Log,
  type Random,
} from '@tealdock/controller';
import { HttpClient, splitAddress } from './http-client.js';
import { HttpFront, type Respond } from './http-server.js';
import { PeerLink } from './peer-link.js';
import { TokenBucket } from './token-bucket.js';

/** Each node may use this part of what the outside services allow to all. */
const STATE_PART = 0.5;
const CLOUD_PART = 0.8;
const STATE_SOCKETS = 24;
const OTHER_SOCKETS = 8;
/** A call that waited this part of its time for a token is better dropped. */
const WAIT_PART = 0.6;

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
  private readonly peers: PeerLink;
  private readonly stateHttp = new HttpClient(STATE_SOCKETS);
  private readonly cloudHttp = new HttpClient(OTHER_SOCKETS);
  private readonly stateCalls: TokenBucket;
  private readonly stateWrites: TokenBucket;
  private readonly cloudCalls: TokenBucket;
  private readonly responders = new Map<number, Respond>();
  private queue: Command[] = [];
  private scheduled = false;
  private timer: NodeJS.Timeout | null = null;
  private lastRequest = 0;

  constructor(private readonly parts: ServiceParts) {
    const { settings, log } = parts;
    this.controller = new Controller(parts);
    this.stateCalls = bucket(settings.state.rps * STATE_PART);
    this.stateWrites = bucket(settings.state.writeRps * STATE_PART, settings.state.txnOps);
    this.cloudCalls = bucket(settings.cloud.rps * CLOUD_PART);
    this.front = new HttpFront(
      (method, path, body, respond) => this.request('public', method, path, body, respond),
      settings.maxConnections - 100,
    );
    this.peers = new PeerLink(
      settings.peers,
      {
        beat: (m) => this.push({ ...m }),
        told: (message) => this.push({ kind: 'told', message }),
        refused: (member) => this.push({ kind: 'refused', member }),
        ask: (m, respond) =>
          this.request('peer', m.method, m.path, m.body, (r) => respond(r.status, r.body)),
      },
      log,
    );
  }

  start(failed: (error: Error) => void): void {
    const { settings, log } = this.parts;
    const ready = () => {
      log('info', { member: settings.member, address: settings.publicAddr }, 'listening');
      this.push({ kind: 'tick' });
    };
    this.front.listen(settings.publicAddr, ready, failed);
    this.peers.listen(settings.clusterListen, failed);
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
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.run());
  }

  /** One batch: everything that has queued up since the last one. */
  private run(): void {
    this.scheduled = false;
    const batch = this.queue;
    this.queue = [];
    const began = performance.now();
    const effects = this.controller.process(batch, began, new Date());
    for (const effect of effects) this.carryOut(effect);
    this.parts.stats.record('batches.commands', batch.length);
    this.parts.stats.record('batches.took_ms', performance.now() - began);
    this.plan();
  }

  private plan(): void {
    if (this.timer) clearTimeout(this.timer);
    const delay = Math.max(1, this.controller.nextDue() - performance.now());
    this.timer = setTimeout(() => this.push({ kind: 'tick' }), Math.min(delay, 1000));
  }

  private carryOut(effect: Effect): void {
    if (effect.kind === 'reply') {
      this.responders.get(effect.id)?.(effect.reply);
      this.responders.delete(effect.id);
    } else if (effect.kind === 'beat') {
      const { leader, token, stateOk } = effect;
      this.peers.beat(this.parts.settings.member, leader, token, stateOk);
    } else if (effect.kind === 'tell') this.peers.tell(effect.message);
    else this.call(effect.id, effect.call);
  }

  private call(id: number, call: Call): void {
    const done = (result: CallResult) => this.push({ kind: 'result', id, result });
    const drop = () => {
      this.parts.stats.count(`calls.${call.target}.dropped`);
      done({ kind: 'unsent' });
    };
    const patience = call.timeout * WAIT_PART;
    const asked = performance.now();
    const take = (b: TokenBucket, cost: number, run: () => void) =>
      b.take(cost, call.priority, patience, run, drop);
    const { settings } = this.parts;
    if (call.target === 'state') {
      const send = () => {
        this.parts.stats.record('calls.state.waited_ms', performance.now() - asked);
        this.send(this.stateHttp, settings.stateAddr, call, done);
      };
      take(this.stateWrites, call.writes, () => take(this.stateCalls, 1, send));
    } else if (call.target === 'cloud') {
      take(this.cloudCalls, 1, () => this.send(this.cloudHttp, settings.cloudAddr, call, done));
    } else this.peers.ask(call, done);
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

function bucket(rate: number, least = 1): TokenBucket {
  const wake = (delay: number, run: () => void) => void setTimeout(run, delay);
  return new TokenBucket(rate, Math.max(rate, least), () => performance.now(), wake);
}
