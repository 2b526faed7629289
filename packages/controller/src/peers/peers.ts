/** What the other controllers say. */
import {
  CANCELLATIONS_PATH,
  packBody,
  renderCancellations,
  type Hints,
  type Instant,
  type JobCount,
  type LeaderBroadcast,
  type PeerHeartbeat,
} from '@tealdock/wire';
import { PRIORITY, type CallPriority, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

const HEARTBEAT_INTERVAL = 1000;
const FRESH = 3200;
const ASK_TIMEOUT = 2000;
const REFUSED_FRESH = 5000;

/** Tasks of a job that are done and that run, for display. */
export type JobCounts = Pick<JobCount, 'done' | 'running'>;

/** What the other controllers have said of themselves lately. Never a proof of anything. */
export class Peers {
  private readonly heartbeats = new Map<string, { heartbeat: PeerHeartbeat; heard: Instant }>();

  /** What the last leader had learnt, as far as this node was told. */
  hints: Hints | null = null;
  private readonly refused = new Map<string, Instant>();
  private started: Instant = 0;
  private counts = new Map<string, JobCounts>();

  constructor(private readonly runtime: Runtime) {}

  start(tell: () => void): void {
    this.started = this.runtime.now;
    this.runtime.every(HEARTBEAT_INTERVAL, () => {
      tell();
      return true;
    });
  }

  receiveHeartbeat(heartbeat: PeerHeartbeat): void {
    this.heartbeats.set(heartbeat.member, { heartbeat, heard: this.runtime.now });
  }

  /** The leader's counts for display, and what it has learnt. */
  receiveBroadcast(message: LeaderBroadcast): void {
    if (message.kind === 'hints') this.hints = message;
    else this.counts = new Map(message.jobs.map((j) => [j.id, j]));
  }

  taskCountsOf(job: string): JobCounts | undefined {
    return this.counts.get(job);
  }

  /** A connection to it was refused: its host answers, so no cut lies between. */
  recordConnectionRefused(member: string): void {
    this.refused.set(member, this.runtime.now);
  }

  refusedConnectionRecently(member: string): boolean {
    return this.runtime.now - (this.refused.get(member) ?? -Infinity) < REFUSED_FRESH;
  }

  lastHeartbeatAt(member: string): Instant {
    return this.heartbeats.get(member)?.heard ?? this.started;
  }

  isAlive(member: string): boolean {
    const known = this.heartbeats.get(member);
    return known !== undefined && this.runtime.now - known.heard <= FRESH;
  }

  get anyAlive(): boolean {
    return this.runtime.settings.peers.some((p) => this.isAlive(p.member));
  }

  /** A peer that reaches the state service, if any. */
  get peerWithStateAccess(): string | null {
    const peer = this.runtime.settings.peers.find(
      (p) =>
        this.isAlive(p.member) && this.heartbeats.get(p.member)?.heartbeat.stateAvailable === true,
    );
    return peer?.member ?? null;
  }

  /** Whichever of them leads can have the tasks stopped at once; nothing rests on its arriving. */
  broadcastCancellations(jobs: string[]): void {
    const body = packBody(renderCancellations(jobs));
    for (const { member } of this.runtime.settings.peers) {
      this.send(member, 'POST', CANCELLATIONS_PATH, body, PRIORITY.leader, () => undefined);
    }
  }

  /** Has a served peer answer a user's request; false if there is none. */
  forwardRequest(
    method: string,
    path: string,
    body: Buffer,
    done: (r: CallResult) => void,
  ): boolean {
    const to = this.peerWithStateAccess;
    if (to === null) return false;
    this.send(to, method, path, body, PRIORITY.user, done);
    return true;
  }

  private send(
    to: string,
    method: string,
    path: string,
    body: Buffer,
    priority: CallPriority,
    done: (r: CallResult) => void,
  ): void {
    const call = { target: 'peer' as const, to, method, path, body, priority };
    this.runtime.call({ ...call, writes: 0, timeout: ASK_TIMEOUT }, done);
  }
}
