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

/** Numbers of a job's tasks that are done and that are running, for display. */
export type TaskCounts = Pick<JobCount, 'done' | 'running'>;

/** The parts of a call that differ between calls to peers. */
type PeerCall = Pick<Call, 'to' | 'method' | 'path' | 'body' | 'priority'>;

/**
 * The other controllers, as their last messages described them. That may be outdated, so it must
 * never be used as a proof, for instance of who leads.
 */
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

  /** Calls `sendHeartbeat` now and then periodically, as long as the process runs. */
  start(sendHeartbeat: () => void): void {
    this.startedAt = this.runtime.now;
    this.runtime.every(HEARTBEAT_INTERVAL_MS, () => {
      sendHeartbeat();
      return true;
    });
  }

  /** Records a heartbeat as the member's newest one. */
  receiveHeartbeat(heartbeat: PeerHeartbeat): void {
    this.heartbeats.set(heartbeat.member, { heartbeat, receivedAt: this.runtime.now });
  }

  /** Stores the leader's task counts or its hints, in place of the last ones. */
  receiveBroadcast(message: LeaderBroadcast): void {
    if (message.kind === 'hints') this.lastHints = message;
    else this.taskCounts = new Map(message.jobs.map((job) => [job.id, job]));
  }

  /** The last hints sent by a leader, this node or another one; null if there were none. */
  get hints(): Hints | null {
    return this.lastHints;
  }

  /** The leader's counts of a job's tasks; undefined if its last message had none of the job. */
  taskCountsOf(job: string): TaskCounts | undefined {
    return this.taskCounts.get(job);
  }

  /**
   * Records that the member's host refused a connection: the host is reachable, so there is no
   * network partition, and the member's process is not running.
   */
  recordConnectionRefused(member: string): void {
    this.connectionRefusedAt.set(member, this.runtime.now);
  }

  /** Whether the member's host was reachable recently although its process was not running. */
  hasRefusedConnectionRecently(member: string): boolean {
    const refusedAt = this.connectionRefusedAt.get(member) ?? -Infinity;
    return this.runtime.now - refusedAt < REFUSED_CONNECTION_TTL_MS;
  }

  /** When the member's last heartbeat arrived; when this process started if none has. */
  lastHeartbeatAt(member: string): Instant {
    return this.heartbeats.get(member)?.receivedAt ?? this.startedAt;
  }

  /** Whether a heartbeat of the member has arrived recently; false for this node itself. */
  isAlive(member: string): boolean {
    const last = this.heartbeats.get(member);
    return last !== undefined && this.runtime.now - last.receivedAt <= HEARTBEAT_TTL_MS;
  }

  get hasLivePeer(): boolean {
    return this.runtime.settings.peers.some((peer) => this.isAlive(peer.member));
  }

  /** A live peer that says it reaches the state service; null if there is none. */
  get peerWithStateAccess(): string | null {
    const hasStateAccess = ({ member }: { member: string }) =>
      this.isAlive(member) && this.heartbeats.get(member)?.heartbeat.stateAvailable === true;
    return this.runtime.settings.peers.find(hasStateAccess)?.member ?? null;
  }

  /**
   * Announces cancelled jobs to all peers, so that the leader stops their tasks immediately. The
   * leader learns of them from its watch too if an announcement is lost.
   */
  broadcastCancellations(jobs: string[]): void {
    const body = packBody(renderCancellations(jobs));
    const { leader: priority } = PRIORITY;
    for (const { member } of this.runtime.settings.peers) {
      const call = { to: member, method: 'POST', path: CANCELLATIONS_PATH, body, priority };
      this.send(call, () => undefined);
    }
  }

  /**
   * Forwards a user's request to a peer that reaches the state service. False if there is no such
   * peer; then `onResult` is not called.
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
