/**
 * Requests with workers' heartbeats. The leader answers them. Any other node renews the lease
 * for the leader, parks the heartbeat or redirects the worker.
 */
import { parseHeartbeat, unpackBody, type WorkerHeartbeat } from '@tealdock/wire';
import type { DelegatedRenewal } from '../leadership/delegated-renewal.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Peers } from '../peers/peers.js';
import type { HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { LeaderContext, LeaderHeartbeats } from './leader-heartbeats.js';
import { ParkedHeartbeats, type HeartbeatRequest } from './parked-heartbeats.js';
import { replyMalformed, replyMethodNotAllowed, replyRedirect } from './replies.js';

/** Dependencies of `HeartbeatRequests`. */
export interface HeartbeatServices {
  state: StateStore;
  leadership: Leadership;
  peers: Peers;
  delegatedRenewal: DelegatedRenewal;
  leader: LeaderContext;
  leaderHeartbeats: LeaderHeartbeats;
}

/** Answers workers' heartbeats on any node. */
export class HeartbeatRequests {
  private readonly parked: ParkedHeartbeats;

  constructor(
    private readonly runtime: Runtime,
    private readonly services: HeartbeatServices,
  ) {
    this.parked = new ParkedHeartbeats(runtime);
  }

  /** Replies to a heartbeat, now or later. */
  handle(request: HttpRequest): void {
    if (request.method !== 'POST') return replyMethodNotAllowed(this.runtime, request, 'POST');
    let heartbeat: WorkerHeartbeat;
    try {
      heartbeat = parseHeartbeat(unpackBody(request.body));
    } catch (error) {
      return replyMalformed(this.runtime, request, error);
    }
    this.process({ request, heartbeat });
  }

  /**
   * Answers parked heartbeats once this node or a live peer leads, once this node may renew leases
   * for an unreachable leader, or once it has lost the state service and can't learn the result of
   * the election. Called at the end of each batch.
   */
  resumeParked(): void {
    if (this.parked.isEmpty) return;
    const handler = this.resumeHandler();
    if (handler) this.parked.resume(handler);
  }

  /** How parked heartbeats are to be answered now; null while the election is under way. */
  private resumeHandler(): ((resumed: HeartbeatRequest) => void) | null {
    const { leader, delegatedRenewal, state } = this.services;
    if (leader.renewalGrant()) return (resumed) => this.process(resumed);
    const liveLeader = this.liveLeader();
    if (liveLeader === null && delegatedRenewal.mayRenew) {
      return (resumed) => this.renewForLeader(resumed);
    }
    if (liveLeader === null && !state.lastCallFailed) return null;
    return ({ request }) => replyRedirect(this.runtime, request.id, liveLeader);
  }

  private process(received: HeartbeatRequest): void {
    const { request, heartbeat } = received;
    this.services.leadership.observeHigherToken(heartbeat.fencingToken);
    if (!this.services.leaderHeartbeats.answer(request.id, heartbeat))
      this.answerAsFollower(received);
  }

  /**
   * Redirects the worker to the leader if that is alive: a worker sent to a dead leader would
   * lose time. Without a live leader, this node renews the lease itself if it may. Otherwise the
   * heartbeat is parked for a short time until the election has ended, since a thousand workers
   * that retry at one node after the other every second would slow the election down.
   */
  private answerAsFollower(received: HeartbeatRequest): void {
    const { state, delegatedRenewal } = this.services;
    const leader = this.liveLeader();
    if (leader === null && delegatedRenewal.mayRenew) return this.renewForLeader(received);
    // A node that can't reach the state service would not learn the result of the election.
    if (leader === null && !state.lastCallFailed && !this.parked.isFull) {
      return this.park(received);
    }
    replyRedirect(this.runtime, received.request.id, leader);
  }

  private renewForLeader({ request, heartbeat }: HeartbeatRequest): void {
    this.services.delegatedRenewal.renew(heartbeat, (response) =>
      this.runtime.reply(request.id, response),
    );
  }

  private park(received: HeartbeatRequest): void {
    this.parked.add(received, () =>
      replyRedirect(this.runtime, received.request.id, this.liveLeader()),
    );
  }

  /** Null if no leader is known, if this node leads, or if the leader's heartbeats are missing. */
  private liveLeader(): string | null {
    const { leadership, peers } = this.services;
    const { leader } = leadership;
    return leader !== null && peers.isAlive(leader) ? leader : null;
  }
}
