/** Answers of the leader to workers' heartbeats. */
import { renderHeartbeatResponse, type Duration, type WorkerHeartbeat } from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { Catalog } from '../machines/catalog.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { LongPolls } from './long-polls.js';
import { replyRedirect } from './replies.js';

/** What this node may answer as the leader; both are null where it does not lead. */
export interface LeaderContext {
  readonly term: Term | null;
  readonly longPolls: LongPolls | null;
  /** Null unless answers may renew leases now (docs/safety.md, Freshness of cancellations). */
  renewalGrant(): Granted | null;
}

/** Takes heartbeats into the term, and answers them with commands for the worker. */
export class LeaderHeartbeats {
  constructor(
    private readonly runtime: Runtime,
    private readonly catalog: Catalog,
    private readonly leader: LeaderContext,
  ) {}

  /** Answers a heartbeat, now or after a long poll; false where this node may not do so. */
  answer(requestId: number, heartbeat: WorkerHeartbeat): boolean {
    const { term, longPolls } = this.leader;
    // Also while it may not answer: a leader that an outage kept from answering is reachable.
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
    // Only a newer heartbeat shows that the one before was given up; a late copy does not.
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

  private longPollTimeout(term: Term, heartbeat: WorkerHeartbeat): Duration {
    const type = this.catalog.types.find((t) => t.name === heartbeat.type);
    return type ? term.workerCommands.longPollTimeoutOf(heartbeat.machine, type) : 0;
  }
}
