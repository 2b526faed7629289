/** The leader's answers to workers' heartbeats. */
import { renderHeartbeatResponse, type Duration, type WorkerHeartbeat } from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { Catalog } from '../machines/catalog.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { LongPolls } from './long-polls.js';
import { replyRedirect } from './replies.js';

/** This node's current term as the leader. */
export interface LeaderContext {
  /** Null while this node does not lead. */
  readonly term: Term | null;
  /** Null while this node does not lead. */
  readonly longPolls: LongPolls | null;
  /** Null unless answers may renew leases now (docs/safety.md, Freshness of cancellations). */
  renewalGrant(): Granted | null;
}

/** Applies heartbeats to the term, and answers them with commands for the worker. */
export class LeaderHeartbeats {
  constructor(
    private readonly runtime: Runtime,
    private readonly catalog: Catalog,
    private readonly leader: LeaderContext,
  ) {}

  /** Answers a heartbeat, now or after a long poll; false if this node may not answer it. */
  answer(requestId: number, heartbeat: WorkerHeartbeat): boolean {
    const { term, longPolls } = this.leader;
    // Recorded even if it may not be answered: a leader that can't renew leases during an outage
    // is still reachable, and should not resign for lack of heartbeats.
    term?.recordHeartbeat();
    const grant = this.leader.renewalGrant();
    if (!grant || !term) return false;
    const outcome = term.heartbeats.process(heartbeat);
    if (outcome.kind === 'unanswered') {
      replyRedirect(this.runtime, requestId, null);
      return true;
    }
    const { commands } = outcome;
    const counted = outcome.kind === 'counted';
    this.runtime.stats.record('evidence.renewal_age_ms', grant.evidence.age);
    this.runtime.stats.count(counted ? 'reports.counted' : 'reports.ignored');
    // A newer heartbeat shows that the worker no longer waits for the answer to the one before; a
    // duplicate that arrives late does not.
    if (counted) longPolls?.abandon(heartbeat.machine, grant);
    const waitTime = counted && commands.length === 0 ? this.longPollTimeout(term, heartbeat) : 0;
    if (waitTime > 0) {
      longPolls?.open(heartbeat.machine, requestId, waitTime);
      return true;
    }
    const body = renderHeartbeatResponse(grant.fencingToken, commands);
    this.runtime.reply(requestId, { status: 200, body, validUntil: grant.validUntil });
    return true;
  }

  /** 0 if the answer should not be held back. */
  private longPollTimeout(term: Term, heartbeat: WorkerHeartbeat): Duration {
    const type = this.catalog.types.find((t) => t.name === heartbeat.type);
    return type ? term.workerCommands.longPollTimeoutOf(heartbeat.machine, type) : 0;
  }
}
