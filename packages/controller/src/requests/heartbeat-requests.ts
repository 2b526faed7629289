/** Workers' heartbeats: answered by the leader, else delegated, parked or redirected. */
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

/** What a node knows of the leader, and what it may do for it. */
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

  /** Takes in a heartbeat; its answer may come later, or be that of another node. */
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

  /** Passes parked heartbeats on once the election is over, or this node can't follow it. */
  resumeParked(): void {
    if (this.parked.isEmpty) return;
    const handler = this.parkedHandler();
    if (handler) this.parked.resume(handler);
  }

  /** Null while the election goes on. */
  private parkedHandler(): ((resumed: HeartbeatRequest) => void) | null {
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
    if (!this.services.leaderHeartbeats.answer(request.id, heartbeat)) this.follow(received);
  }

  /**
   * Names the leader only while it seems to live, so that workers lose no time on
   * it. While there is none, the heartbeat waits for the election for a moment: a
   * thousand workers that go round the nodes once a second would slow it down.
   */
  private follow(received: HeartbeatRequest): void {
    const { state, delegatedRenewal } = this.services;
    const leader = this.liveLeader();
    if (leader === null && delegatedRenewal.mayRenew) return this.renewForLeader(received);
    // A node without the state service will not learn the result of the election.
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

  private liveLeader(): string | null {
    const { leadership, peers } = this.services;
    const { leader } = leadership;
    return leader !== null && peers.isAlive(leader) ? leader : null;
  }
}
