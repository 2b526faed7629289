/** Reports of workers: answered by the leader, kept for an election, or sent on. */
import {
  parseHeartbeat,
  renderRedirect,
  renderHeartbeatResponse,
  unpackBody,
  type Duration,
  type WorkerHeartbeat,
} from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { DelegatedRenewal } from '../leadership/delegated-renewal.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Catalog } from '../machines/catalog.js';
import type { Peers } from '../peers/peers.js';
import type { HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { Term } from '../term/term.js';
import type { LongPolls } from './long-polls.js';
import { malformed, methodNotAllowed } from './replies.js';

/** Reports that leave the queue of those that waited for an election, in one batch. */
const MAX_UNPARKED = 64;
/** How long a report waits for an election; workers give up after 4 s. */
const PARK = 2500;

/** What this node may answer as the leader; no term where it does not lead. */
export interface LeaderContext {
  readonly term: Term | null;
  readonly longPolls: LongPolls | null;
  /** Set while answers may renew leases (docs/safety.md, Freshness of cancellations). */
  renewalGrant(): Granted | null;
}

/** A report that waits for an election. */
interface Parked {
  request: HttpRequest;
  heartbeat: WorkerHeartbeat;
}

/** Answers the reports of workers, or tells them where to go. */
export class HeartbeatRequests {
  private readonly parked = new Map<number, Parked>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly catalog: Catalog,
    private readonly peers: Peers,
    private readonly delegatedRenewal: DelegatedRenewal,
    private readonly leader: LeaderContext,
  ) {}

  /** Takes a report in; its answer may be kept back, or come from another node. */
  handle(request: HttpRequest): void {
    if (request.method !== 'POST') return methodNotAllowed(this.runtime, request, 'POST');
    let report: WorkerHeartbeat;
    try {
      report = parseHeartbeat(unpackBody(request.body));
    } catch (error) {
      return malformed(this.runtime, request, error);
    }
    this.processOrRedirect(request, report);
  }

  private processOrRedirect(request: HttpRequest, heartbeat: WorkerHeartbeat): void {
    const { term, longPolls } = this.leader;
    this.leadership.observeHigherToken(heartbeat.fencingToken);
    // Also while it may not answer: a leader that an outage kept from answering is reachable.
    term?.recordHeartbeat();
    const held = this.leader.renewalGrant();
    if (!held || !term) return this.redirect(request, heartbeat);
    const outcome = term.heartbeats.process(heartbeat);
    if (outcome.kind === 'unanswered') return this.redirectTo(request.id, null);
    const { commands: orders } = outcome;
    const counted = outcome.kind === 'counted';
    this.runtime.stats.record('evidence.renewal_age_ms', held.evidence.age);
    this.runtime.stats.count(counted ? 'reports.counted' : 'reports.ignored');
    // Only a newer report shows that the one before was given up; a late copy does not.
    if (counted) longPolls?.drop(heartbeat.machine, held);
    const hold = counted && orders.length === 0 ? this.longPollTimeoutOf(term, heartbeat) : 0;
    if (hold > 0) {
      this.runtime.stats.count('reports.held');
      return longPolls?.hold(heartbeat.machine, request.id, hold);
    }
    this.runtime.reply(request.id, {
      status: 200,
      body: renderHeartbeatResponse(held.fencingToken, orders),
      validUntil: held.validUntil,
    });
  }

  private longPollTimeoutOf(term: Term, report: WorkerHeartbeat): Duration {
    const type = this.catalog.types.find((t) => t.name === report.type);
    return type ? term.workerCommands.longPollTimeoutOf(report.machine, type) : 0;
  }

  /**
   * Names the leader only while it seems to live, so that workers lose no time on
   * it. While there is none, the report waits for the election for a moment: a
   * thousand workers that go round the nodes once a second would slow it down.
   */
  private redirect(request: HttpRequest, report: WorkerHeartbeat): void {
    const leader = this.liveLeader();
    if (leader === null && this.delegatedRenewal.mayRenew)
      return this.renewForLeader(request, report);
    if (leader === null && this.mayPark()) return this.park(request, report);
    this.redirectTo(request.id, leader);
  }

  private renewForLeader(request: HttpRequest, report: WorkerHeartbeat): void {
    this.delegatedRenewal.renew(report, (status, body, validUntil) =>
      this.runtime.reply(request.id, {
        status,
        body,
        ...(validUntil === undefined ? {} : { validUntil }),
      }),
    );
  }

  private liveLeader(): string | null {
    const leader = this.leadership.leader;
    return leader !== null && this.peers.isAlive(leader) ? leader : null;
  }

  private redirectTo(request: number, leader: string | null): void {
    this.runtime.stats.count('reports.redirected');
    this.runtime.reply(request, { status: 421, body: renderRedirect(leader) });
  }

  /** A node without the state service will not know of the election, nor win it. */
  private mayPark(): boolean {
    return (
      !this.state.lastCallFailed && this.parked.size < this.runtime.settings.maxConnections / 2
    );
  }

  private park(request: HttpRequest, report: WorkerHeartbeat): void {
    this.parked.set(request.id, { request, heartbeat: report });
    this.runtime.stats.count('reports.parked');
    this.runtime.after(PARK, () => {
      if (this.parked.delete(request.id)) this.redirectTo(request.id, this.liveLeader());
    });
  }

  /**
   * Somebody leads, or a leader behind a cut does, or this node can't tell any more. A few
   * at a time: a process that has just started takes seconds for a thousand reports.
   */
  unpark(): void {
    if (this.parked.size === 0) return;
    const leads = this.leader.renewalGrant() !== null;
    const leader = this.liveLeader();
    const keeps = !leads && leader === null && this.delegatedRenewal.mayRenew;
    if (!leads && !keeps && leader === null && !this.state.lastCallFailed) return;
    const waiting = [...this.parked.values()].slice(0, MAX_UNPARKED);
    for (const { request, heartbeat: report } of waiting) {
      this.parked.delete(request.id);
      if (leads) this.processOrRedirect(request, report);
      else if (keeps) this.renewForLeader(request, report);
      else this.redirectTo(request.id, leader);
    }
    if (this.parked.size > 0) this.runtime.after(0, () => undefined);
  }
}
