/** Leader election by means of the leader key in the state service. */
import type { Instant, Precondition } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LEADER_KEY } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readLeader, type LeaderValue } from '../state/stored-values.js';
import { ElectionLease } from './election-lease.js';

/** Number of renewals per lease duration. */
const RENEWALS_PER_LEASE_COUNT = 6;
const WATCH_TIMEOUT_MS = 10_000;
const READ_RETRY_DELAY_MS = 500;
/** Interval between reads of the leader key while it is vacant or an election is in progress. */
const ELECTION_POLL_INTERVAL_MS = 250;
/** A watch that ends sooner than this without events was refused, so the next read is delayed. */
const MIN_WATCH_DURATION_MS = 2000;
/** Upper bound of a random delay before an election, so that candidates rarely collide. */
const MAX_ELECTION_JITTER_MS = 200;
/** After resigning, a node waits this long before it runs for election, so others can win. */
const REELECTION_BACKOFF_MS = 12_000;
const NONCE_RANGE = 2 ** 31;

/** Leadership that is certain to be held until `validUntil`. */
export interface LeaderLease {
  fencingToken: number;
  validUntil: Instant;
}

/** Is notified when this node gains or loses leadership. */
export interface LeadershipListener {
  /** This node has won an election. Its fencing token is higher than those of all earlier terms. */
  onElected(fencingToken: number): void;
  /** This node is no longer the leader. */
  onLeadershipLost(): void;
}

/**
 * The leader is the member whose name the leader key holds. The key is attached to a lease of the
 * state service, and the revision of the commit that wrote it is the fencing token.
 */
export class Leadership {
  private observedLeader: string | null = null;
  private leaderKeyVersion: number | null = null;
  private readonly lease: ElectionLease;
  /** Null while this node is not the leader. */
  private fencingToken: number | null = null;
  /** Nonce in this node's last write of the leader key; null if that write can't be in effect. */
  private nonce: string | null = null;
  private electionInProgress = false;
  private reelectionAllowedAt: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly listener: LeadershipListener,
  ) {
    this.lease = new ElectionLease(runtime, state);
  }

  /** Member named in the leader key, as last read; null if the key is vacant or unknown. */
  get leader(): string | null {
    return this.observedLeader;
  }

  /** Fencing token of the current leader, as last read; null if the key is vacant or unknown. */
  get leaderFencingToken(): number | null {
    return this.leaderKeyVersion;
  }

  /** Starts to take part in elections, until the process ends. */
  start(): void {
    this.readLeaderKey();
    const { leaseDuration } = this.runtime.operator.leadership;
    this.runtime.every(leaseDuration / RENEWALS_PER_LEASE_COUNT, () => {
      this.lease.renew(() => this.onLeaseEnded());
      return true;
    });
  }

  /** Returns the leader lease; null unless this node leads and the lease is certainly valid now. */
  validLease(): LeaderLease | null {
    if (this.fencingToken === null || this.runtime.now >= this.lease.validUntil) return null;
    return { fencingToken: this.fencingToken, validUntil: this.lease.validUntil };
  }

  /** Precondition for all transactions of a leader; fails once another node has been elected. */
  leaderPrecondition(): Precondition {
    return { key: LEADER_KEY, version: this.fencingToken ?? 0 };
  }

  /** Gives up leadership and leaves the next election to the other nodes. Logs the reason. */
  resign(reason: string): void {
    const { fencingToken } = this;
    if (fencingToken === null) return;
    this.runtime.log('info', { fencingToken, reason }, 'leadership resigned');
    this.reelectionAllowedAt = this.runtime.now + REELECTION_BACKOFF_MS;
    this.lease.revoke();
    this.forgetLease();
    this.onLeadershipLost();
  }

  /** Ends leadership if the token is higher than this node's, since another node was elected. */
  observeHigherToken(observedToken: number): void {
    const { fencingToken } = this;
    if (fencingToken === null || observedToken <= fencingToken) return;
    this.runtime.log('info', { fencingToken, observedToken }, 'leadership superseded');
    this.onLeadershipLost();
  }

  /** Reads the leader key, acts on it, then watches or polls for its next change. */
  private readLeaderKey(): void {
    this.state.getValue(LEADER_KEY, readLeader, PRIORITY.lease, (read) => {
      if (read.kind === 'failed') return this.readLeaderKeyAfter(READ_RETRY_DELAY_MS);
      if (read.kind === 'missing') this.onLeaderKeyVacant();
      else this.onLeaderKeyHeld(read.value, read.version);
      if (read.kind === 'missing' || this.electionInProgress)
        return this.readLeaderKeyAfter(ELECTION_POLL_INTERVAL_MS);
      this.watchLeaderKey(read.version);
    });
  }

  private readLeaderKeyAfter(delay: number): void {
    this.runtime.after(delay, () => this.readLeaderKey());
  }

  private watchLeaderKey(afterRevision: number): void {
    const startedAt = this.runtime.now;
    this.state.watch(LEADER_KEY, afterRevision, WATCH_TIMEOUT_MS, (watched) => {
      const endedEarly = this.runtime.now - startedAt < MIN_WATCH_DURATION_MS;
      const delay = endedEarly && watched.kind !== 'events' ? READ_RETRY_DELAY_MS : 0;
      this.readLeaderKeyAfter(delay);
    });
  }

  private onLeaderKeyVacant(): void {
    this.observedLeader = null;
    this.leaderKeyVersion = null;
    if (this.fencingToken !== null) this.onLeadershipLost();
    if (this.electionInProgress || this.runtime.now < this.reelectionAllowedAt) return;
    this.startElection(0, this.runtime.env.random() * MAX_ELECTION_JITTER_MS);
  }

  private onLeaderKeyHeld(holder: LeaderValue, version: number): void {
    this.observedLeader = holder.member;
    this.leaderKeyVersion = version;
    if (version === this.fencingToken) return;
    if (this.fencingToken !== null) this.onLeadershipLost();
    const isOwnMember = holder.member === this.runtime.settings.member;
    if (!isOwnMember || this.electionInProgress) return;
    // This process wrote the key by a commit whose response was lost.
    if (this.nonce !== null && holder.nonce === this.nonce) return this.onElected(version);
    // An earlier process of this member wrote the key. It has ended, since a member never runs two.
    this.startElection(version, 0);
  }

  /** After the delay, obtains a lease and writes the leader key if it still has that version. */
  private startElection(version: number, delay: number): void {
    this.electionInProgress = true;
    this.runtime.after(delay, () =>
      this.lease.obtain((leaseId) => {
        if (leaseId === null) this.electionInProgress = false;
        else this.writeLeaderKey(version, leaseId);
      }),
    );
  }

  private writeLeaderKey(version: number, lease: number): void {
    const random = Math.floor(this.runtime.env.random() * NONCE_RANGE);
    this.nonce = `${this.runtime.wallClock.getTime()}-${random}`;
    const value: LeaderValue = { member: this.runtime.settings.member, nonce: this.nonce };
    const precondition = { key: LEADER_KEY, version };
    const write = { put: LEADER_KEY, value, lease };
    this.state.compareAndSwap([precondition], [write], PRIORITY.lease, (commit) => {
      this.electionInProgress = false;
      if (commit.kind === 'ok') this.onElected(commit.revision);
      else if (commit.kind === 'no_lease') this.forgetLease();
    });
  }

  private onElected(fencingToken: number): void {
    if (!this.lease.isHeld) return;
    this.fencingToken = fencingToken;
    this.observedLeader = this.runtime.settings.member;
    this.runtime.log('info', { fencingToken }, 'leadership acquired');
    this.listener.onElected(fencingToken);
  }

  private onLeaseEnded(): void {
    this.forgetLease();
    if (this.fencingToken !== null) this.onLeadershipLost();
  }

  private onLeadershipLost(): void {
    this.fencingToken = null;
    this.nonce = null;
    this.observedLeader = null;
    this.listener.onLeadershipLost();
  }

  private forgetLease(): void {
    this.lease.forget();
    // A key written on the lost lease can't be kept alive by a new one.
    this.nonce = null;
  }
}
