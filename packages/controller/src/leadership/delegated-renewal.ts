/** Renewal of workers' leases by a follower, for a leader that they can't reach. */
import {
  renderHeartbeatResponse,
  splitTaskId,
  type Instant,
  type WorkerCommand,
  type TaskStatus,
  type WorkerHeartbeat,
} from '@tealdock/wire';
import { GRANT_PREFIX, LEADER_KEY, type GrantValue } from '../state/keys.js';
import type { Leadership } from './leadership.js';
import type { Peers } from '../peers/peers.js';
import { maxStaleness } from './freshness.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Liveness } from '../jobs/job-lookup.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { minOnOtherClock } from '../runtime/clock-drift.js';
import { BoundedMap } from '../runtime/bounded.js';

/** A grant allows answers for this long from the moment it was asked for. */
export const GRANT_DURATION_MS = 6000;
const GRANT_MARGIN = 100;
/** It is renewed when less than this is left. */
const RENEW_GRANT_BEFORE_END = 3000;
/** How long a leader's heartbeats must be missing; a dead one's key is mostly gone by then. */
const LEADER_UNREACHABLE_AFTER = 6500;
/** A job that was live at most this long ago may keep its workers. */
const PROOF_VALIDITY = 2000;
const MAX_REMEMBERED_PROOFS = 5000;

type Answer = (status: 200 | 421, body: unknown, validUntil?: Instant) => void;

interface Grant {
  fencingToken: number;
  until: Instant;
}

/**
 * Keeps workers' leases alive while a cut between zones parts them from a leader
 * that still leads. A grant in the state service, guarded by the leader's key, lets
 * this node answer reports with the leader's token and without orders; leaders look
 * for grants before they call a machine's lease expired (docs/safety.md). Each task on such a
 * worker is of a job proven live just now, or is stopped by the same answer.
 */
export class DelegatedRenewal {
  private grant: Grant | null = null;
  private asking = false;
  private readonly waiting: (() => void)[] = [];
  /** When jobs were last proven live. */
  private readonly proven = new BoundedMap<string, Instant>(MAX_REMEMBERED_PROOFS);

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly peers: Peers,
    private readonly prove: (job: string, done: (proof: Liveness) => void) => void,
  ) {}

  /** The leader's key stands though nothing has been heard of it for a while. */
  get mayRenew(): boolean {
    const { leader, leaderFencingToken: leaderVersion } = this.leadership;
    if (leader === null || leaderVersion === null || this.state.lastCallFailed) return false;
    if (leader === this.runtime.settings.member || this.peers.refusedConnectionRecently(leader))
      return false;
    return this.runtime.now - this.peers.lastHeartbeatAt(leader) > LEADER_UNREACHABLE_AFTER;
  }

  renew(report: WorkerHeartbeat, answer: Answer): void {
    this.withGrant((grant) => {
      if (!grant || report.fencingToken > grant.fencingToken) return answer(421, {});
      const present = report.tasks.filter((t) => t.state !== 'exited');
      this.proveAll([...new Set(present.map(jobOf))], (ended) => {
        if (!ended) return answer(421, {});
        this.runtime.stats.count('reports.kept');
        const over = present.filter((t) => ended.has(jobOf(t)));
        answer(200, renderHeartbeatResponse(grant.fencingToken, over.map(killOf)), grant.until);
      });
    });
  }

  // --- grants ----------------------------------------------------------------

  private withGrant(use: (grant: Grant | null) => void): void {
    const current =
      this.grant?.fencingToken === this.leadership.leaderFencingToken ? this.grant : null;
    const left = (current?.until ?? -Infinity) - this.runtime.now;
    if (left < RENEW_GRANT_BEFORE_END) this.ask();
    if (left > 0) return use(current);
    this.waiting.push(() => use(this.grant));
  }

  private ask(): void {
    if (this.asking) return;
    this.asking = true;
    const token = this.leadership.leaderFencingToken ?? 0;
    const sent = this.runtime.now;
    const value: GrantValue = { token, at: this.runtime.wallClock.getTime() };
    const write = { put: `${GRANT_PREFIX}${this.runtime.settings.member}`, value };
    const guards = [{ key: LEADER_KEY, version: token }];
    this.state.compareAndSwap(guards, [write], PRIORITY.lease, (committed) => {
      this.asking = false;
      // Counted from the send, so that it ends here before it ends for any leader.
      const until = sent + minOnOtherClock(GRANT_DURATION_MS) - GRANT_MARGIN;
      this.grant = committed.kind === 'ok' ? { fencingToken: token, until } : null;
      this.runtime.env.log(
        'info',
        { fencingToken: token, granted: this.grant !== null },
        'lease renewal delegated',
      );
      for (const go of this.waiting.splice(0)) go();
    });
  }

  // --- jobs ------------------------------------------------------------------

  /** Jobs of these that are over; null if one can't be told. */
  private proveAll(jobs: string[], done: (ended: Set<string> | null) => void): void {
    const open = jobs.filter((job) => !this.provenLately(job));
    const ended = new Set<string>();
    let left = open.length;
    if (left === 0) return done(ended);
    let sure = true;
    for (const job of open) {
      const asked = this.runtime.now;
      this.prove(job, (proof) => {
        if (proof === 'live') this.proven.set(job, asked);
        if (proof === 'ended') ended.add(job);
        sure &&= proof !== 'unknown';
        if (--left === 0) done(sure ? ended : null);
      });
    }
  }

  private provenLately(job: string): boolean {
    const at = this.proven.get(job);
    if (at === undefined) return false;
    const life = Math.min(PROOF_VALIDITY, maxStaleness(this.runtime.settings));
    if (this.runtime.now - at <= life) return true;
    this.proven.delete(job);
    return false;
  }
}

const jobOf = (t: TaskStatus): string => splitTaskId(t.task)?.job ?? t.task;

/** What is over is over whoever says so: a stop, unlike a start, needs no leader. */
const killOf = ({ task, attempt }: TaskStatus): WorkerCommand => ({
  op: 'stop',
  task,
  attempt,
  gracePeriod: 0,
});
