/** Heartbeats, broadcasts and calls between the controllers. */
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
import { PRIORITY, type Call, type CallResult, type HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** A peer counts as alive for this long after its last heartbeat. */
const HEARTBEAT_TTL_MS = 3200;
const CALL_TIMEOUT_MS = 2000;
/** A refused connection counts as recent for this long. */
const REFUSED_CONNECTION_TTL_MS = 5000;

/** Tasks of a job that are done and that run, for display. */
export type TaskCounts = Pick<JobCount, 'done' | 'running'>;

/** What this node asks of a peer. */
type PeerCall = Pick<Call, 'to' | 'method' | 'path' | 'body' | 'priority'>;

/** The other controllers as they have last described themselves. Never a proof of anything. */
export class Peers {
  private readonly heartbeats = new Map<
    string,
    { heartbeat: PeerHeartbeat; receivedAt: Instant }
  >();
  private readonly connectionRefusedAt = new Map<string, Instant>();
  private startedAt: Instant = 0;
  private lastHints: Hints | null = null;
  private taskCounts = new Map<string, TaskCounts>();

  constructor(private readonly runtime: Runtime) {}

  /** Has heartbeats sent from now on, as long as the process runs. */
  start(sendHeartbeat: () => void): void {
    this.startedAt = this.runtime.now;
    this.runtime.every(HEARTBEAT_INTERVAL_MS, () => {
      sendHeartbeat();
      return true;
    });
  }

  /** Replaces the heartbeat known of that member. */
  receiveHeartbeat(heartbeat: PeerHeartbeat): void {
    this.heartbeats.set(heartbeat.member, { heartbeat, receivedAt: this.runtime.now });
  }

  /** Keeps the leader's task counts, or its hints for a successor. */
  receiveBroadcast(message: LeaderBroadcast): void {
    if (message.kind === 'hints') this.lastHints = message;
    else this.taskCounts = new Map(message.jobs.map((job) => [job.id, job]));
  }

  /** The last hints of a leader, this node or another one; null if none have been received. */
  get hints(): Hints | null {
    return this.lastHints;
  }

  /** The leader's counts of a job's tasks; undefined if it has sent none. */
  taskCountsOf(job: string): TaskCounts | undefined {
    return this.taskCounts.get(job);
  }

  /** A connection to the member was refused: its host answers, so there is no partition. */
  recordConnectionRefused(member: string): void {
    this.connectionRefusedAt.set(member, this.runtime.now);
  }

  /** Whether its host was seen to be reachable while the member's process was not. */
  hasRefusedConnectionRecently(member: string): boolean {
    const refusedAt = this.connectionRefusedAt.get(member) ?? -Infinity;
    return this.runtime.now - refusedAt < REFUSED_CONNECTION_TTL_MS;
  }

  /** When the member's last heartbeat came; the start of this process if none has. */
  lastHeartbeatAt(member: string): Instant {
    return this.heartbeats.get(member)?.receivedAt ?? this.startedAt;
  }

  /** Whether a heartbeat has come recently; false for this node itself. */
  isAlive(member: string): boolean {
    const last = this.heartbeats.get(member);
    return last !== undefined && this.runtime.now - last.receivedAt <= HEARTBEAT_TTL_MS;
  }

  get hasLivePeer(): boolean {
    return this.runtime.settings.peers.some((peer) => this.isAlive(peer.member));
  }

  /** A live peer that reaches the state service; null if there is none. */
  get peerWithStateAccess(): string | null {
    const hasStateAccess = ({ member }: { member: string }) =>
      this.isAlive(member) && this.heartbeats.get(member)?.heartbeat.stateAvailable === true;
    return this.runtime.settings.peers.find(hasStateAccess)?.member ?? null;
  }

  /** Lets the leader stop the tasks at once; nothing depends on the arrival of this. */
  broadcastCancellations(jobs: string[]): void {
    const body = packBody(renderCancellations(jobs));
    const { leader: priority } = PRIORITY;
    for (const { member } of this.runtime.settings.peers) {
      const call = { to: member, method: 'POST', path: CANCELLATIONS_PATH, body, priority };
      this.send(call, () => undefined);
    }
  }

  /**
   * Has a peer that reaches the state service answer a user's request. False if there is no
   * such peer; then `onResult` is not called.
   */
  forwardRequest(request: HttpRequest, onResult: (result: CallResult) => void): boolean {
    const to = this.peerWithStateAccess;
    if (to === null) return false;
    const { method, path, body } = request;
    this.send({ to, method, path, body, priority: PRIORITY.user }, onResult);
    return true;
  }

  private send(call: PeerCall, onResult: (result: CallResult) => void): void {
    this.runtime.call(
      { target: 'peer', ...call, writeCount: 0, timeout: CALL_TIMEOUT_MS },
      onResult,
    );
  }
}
