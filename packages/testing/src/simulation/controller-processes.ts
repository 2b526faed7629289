/** The controllers of a simulated cluster, and the messages between them. */
import type { LeaderBroadcast, PeerMessage } from '@tealdock/wire';
import type {
  Call,
  CallResult,
  Command,
  Effect,
  HttpRequest,
  Log,
  Random,
  Reply,
} from '@tealdock/controller';
import type { StateLimits } from '../fakes/fake-state.js';
import {
  DEFAULT_TIMES,
  clusterSettings,
  stateLimits,
  type ClusterOptions,
} from './cluster-options.js';
import { ControllerProcess } from './controller-process.js';
import type { SimulatedClock } from './simulated-clock.js';
import type { SimulatedNetwork } from './simulated-network.js';

/** One-way latency of the nodes' calls and of the workers' heartbeats. */
export const ONE_WAY_LATENCY_MS = 5;

/**
 * Delivers a node's call to its target and passes the result to `done`. The caller adds the latency
 * in both directions.
 */
type CallRouter = (from: string, call: Call, done: (result: CallResult) => void) => void;

/** Options and environment of the controllers. */
export interface ProcessesOptions {
  /** Read at each start of a process, so that a test can change them at run time. */
  options: ClusterOptions;
  clock: SimulatedClock;
  network: SimulatedNetwork;
  random: Random;
  /** The log of a node. */
  logOf: (node: string) => Log;
  route: CallRouter;
}

/** Starts and ends the processes of controllers, runs them and executes their effects. */
export class ControllerProcesses {
  /** The process of each running node. */
  readonly running = new Map<string, ControllerProcess>();
  /** Nodes whose observable behaviour is that of the version before job chains. */
  private readonly olderVersions = new Set<string>();

  constructor(private readonly context: ProcessesOptions) {}

  /** Starts a node; its settings respect the announced limits of the state service. */
  boot(name: string): void {
    this.olderVersions.delete(name);
    const { options } = this.context;
    this.start(name, stateLimits(options, options.announcedLimits));
  }

  /**
   * Starts a node as the version before job chains: its settings ignore announced limits, and it
   * stores no end times of jobs. Scenarios must not send it requests that use newer features.
   */
  bootOlderVersion(name: string): void {
    this.olderVersions.add(name);
    this.start(name, stateLimits(this.context.options));
  }

  runsOlderVersion(name: string): boolean {
    return this.olderVersions.has(name);
  }

  /** Ends a process immediately. */
  crash(name: string): void {
    this.running.delete(name);
  }

  /** Suspends a node's process, or resumes it if `isHung` is false. */
  hang(name: string, isHung: boolean): void {
    const process = this.running.get(name);
    if (process) process.isHung = isHung;
  }

  /** Lets every process close idle connections and process its queued commands. */
  processBatches(): void {
    for (const process of this.running.values()) {
      process.sockets.tick();
      for (const effect of process.processBatch()) this.executeEffect(process, effect);
    }
  }

  /** Sends a request to a node; the reply is null if the node does not run. */
  request(
    name: string,
    request: Omit<HttpRequest, 'kind' | 'id'>,
    done: (reply: Reply | null) => void,
  ): void {
    const process = this.running.get(name);
    if (!process) return done(null);
    const registered = process.registerRequest(request, done);
    this.context.options.observer?.request(this.context.clock.now(), name, registered);
    this.push(process, registered);
  }

  /** Notifies node `from` that node `to` has refused its connection. */
  refuseConnection(from: string, to: string): void {
    const process = this.running.get(from);
    if (process) this.push(process, { kind: 'peer_refused', member: to });
  }

  /** The largest number of sockets that a running process has used, including its own calls. */
  maxSocketCount(): number {
    return Math.max(...[...this.running.values()].map(({ sockets }) => sockets.maxCount));
  }

  /** Requests that the running processes have rejected for lack of a socket. */
  rejectedRequestCount(): number {
    return [...this.running.values()].reduce(
      (sum, { sockets }) => sum + sockets.rejectedRequestCount,
      0,
    );
  }

  private start(name: string, limits: StateLimits): void {
    const { options, clock, random, logOf } = this.context;
    const { leaderLease } = options.times ?? DEFAULT_TIMES;
    const process = new ControllerProcess({
      settings: clusterSettings(name, options, limits),
      operatorSettings: `[leadership]\nlease_s = ${leaderLease / 1000}\n`,
      hasRateLimits: options.limits !== undefined,
      clock,
      random,
      log: logOf(name),
    });
    this.running.set(name, process);
  }

  /** Drops a command for a process that has ended, even if its node has been restarted since. */
  private push(process: ControllerProcess, command: Command): void {
    if (this.running.get(process.name) === process) process.push(command);
  }

  private executeEffect(process: ControllerProcess, effect: Effect): void {
    if (effect.kind === 'reply') this.reply(process, effect.id, effect.reply);
    else if (effect.kind === 'heartbeat') this.sendHeartbeats(process, effect);
    else if (effect.kind === 'broadcast') this.broadcast(process, effect.message);
    else if (effect.kind === 'set_write_fraction')
      process.rateLimiter?.setWriteFraction(effect.fraction);
    else this.call(process, effect.id, effect.call);
  }

  private call(process: ControllerProcess, id: number, call: Call): void {
    const { options, clock, route } = this.context;
    options.observer?.call(clock.now(), process.name, id, call);
    const done = (result: CallResult) =>
      clock.after(ONE_WAY_LATENCY_MS, () => this.deliverResult(process, id, result));
    const send = () => clock.after(ONE_WAY_LATENCY_MS, () => route(process.name, call, done));
    if (process.rateLimiter) process.rateLimiter.submit(call, send, () => done({ kind: 'unsent' }));
    else send();
  }

  private deliverResult(process: ControllerProcess, id: number, result: CallResult): void {
    this.context.options.observer?.result(this.context.clock.now(), process.name, id, result);
    this.push(process, { kind: 'result', id, result });
  }

  private reply(process: ControllerProcess, id: number, reply: Reply): void {
    this.context.options.observer?.reply(this.context.clock.now(), process.name, id, reply);
    process.respond(id, reply);
  }

  private sendHeartbeats(
    process: ControllerProcess,
    heartbeat: Extract<Effect, { kind: 'heartbeat' }>,
  ): void {
    const message = { ...heartbeat, member: process.name };
    this.sendToPeers(process, message, message);
  }

  private broadcast(process: ControllerProcess, message: LeaderBroadcast): void {
    this.sendToPeers(process, message, { kind: 'leader_broadcast', message });
  }

  private sendToPeers(sender: ControllerProcess, message: PeerMessage, command: Command): void {
    const { options, clock, network } = this.context;
    for (const peer of this.running.values()) {
      if (peer === sender || network.isCut(sender.name, peer.name)) continue;
      options.observer?.frame(clock.now(), sender.name, peer.name, message);
      this.push(peer, command);
    }
  }
}
