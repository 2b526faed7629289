/** Leader election over the leader key of the state service. */
import type { Instant, Precondition } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LEADER_KEY } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readLeader, type LeaderValue } from '../state/stored-values.js';
import { ElectionLease } from './election-lease.js';

/** Renewals in one duration of the lease. */
const RENEWALS_PER_LEASE_COUNT = 6;
const WATCH_TIMEOUT_MS = 10_000;
const READ_RETRY_DELAY_MS = 500;
/** Pause between reads of the leader key while it is vacant or an election is under way. */
const ELECTION_POLL_INTERVAL_MS = 250;
/** A watch that ended sooner than this without events was refused: the next one is delayed. */
const MIN_WATCH_DURATION_MS = 2000;
/** Random delay before a candidate writes the key, so that candidates rarely collide. */
const MAX_ELECTION_JITTER_MS = 200;
/** After a resignation the other nodes get this long to take over. */
const REELECTION_BACKOFF_MS = 12_000;
const NONCE_RANGE = 2 ** 31;

/** Leadership that is surely held until an instant. */
export interface LeaderLease {
  fencingToken: number;
  validUntil: Instant;
}

/** Receives the changes of this node's leadership. */
export interface LeadershipListener {
  /** This node has won an election; the fencing token is higher than those of all earlier terms. */
  onElected(fencingToken: number): void;
  /** This node leads no longer. */
  onLeadershipLost(): void;
}

/**
 * Whoever holds the leader key on a lease of the state service is the leader. The fencing
 * token is the revision of the commit that wrote the key.
 */
export class Leadership {
  private observedLeader: string | null = null;
  private observedVersion: number | null = null;
  private readonly lease: ElectionLease;
  /** Set while this node leads. */
  private fencingToken: number | null = null;
  /** What this node's newest commit of the leader key wrote; null if that can't have lasted. */
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

  /** Member that the leader key names, as last read; null when vacant or unknown. */
  get leader(): string | null {
    return this.observedLeader;
  }

  /** Fencing token of the current leader, as last read; null when the key is vacant. */
  get leaderFencingToken(): number | null {
    return this.observedVersion;
  }

  /** Begins to take part in elections, for as long as the process runs. */
  start(): void {
    this.readLeaderKey();
    const { leaseDuration } = this.runtime.operator.leadership;
    this.runtime.every(leaseDuration / RENEWALS_PER_LEASE_COUNT, () => {
      this.lease.renew(() => this.onLeaseEnded());
      return true;
    });
  }

  /** Null unless this node leads and its lease is surely valid now. */
  validLease(): LeaderLease | null {
    if (this.fencingToken === null || this.runtime.now >= this.lease.validUntil) return null;
    return { fencingToken: this.fencingToken, validUntil: this.lease.validUntil };
  }

  /** Guards every transaction of a leader: it fails once another node has been elected. */
  leaderPrecondition(): Precondition {
    return { key: LEADER_KEY, version: this.fencingToken ?? 0 };
  }

  /** Gives leadership up and leaves the next election to the other nodes; logs the reason. */
  resign(reason: string): void {
    const { fencingToken } = this;
    if (fencingToken === null) return;
    this.runtime.log('info', { fencingToken, reason }, 'leadership resigned');
    this.reelectionAllowedAt = this.runtime.now + REELECTION_BACKOFF_MS;
    this.lease.revoke();
    this.forgetLease();
    this.onLeadershipLost();
  }

  /** Ends leadership if the token is higher than its own: then another node was elected. */
  observeHigherToken(observedToken: number): void {
    const { fencingToken } = this;
    if (fencingToken === null || observedToken <= fencingToken) return;
    this.runtime.log('info', { fencingToken, observedToken }, 'leadership superseded');
    this.onLeadershipLost();
  }

  /** Reads the key, acts on it, then watches for its next change. */
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
    this.observedVersion = null;
    if (this.fencingToken !== null) this.onLeadershipLost();
    if (this.electionInProgress || this.runtime.now < this.reelectionAllowedAt) return;
    this.startElection(0, this.runtime.env.random() * MAX_ELECTION_JITTER_MS);
  }

  private onLeaderKeyHeld(holder: LeaderValue, version: number): void {
    this.observedLeader = holder.member;
    this.observedVersion = version;
    if (version === this.fencingToken) return;
    if (this.fencingToken !== null) this.onLeadershipLost();
    const isOwnMember = holder.member === this.runtime.settings.member;
    if (!isOwnMember || this.electionInProgress) return;
    // A commit of this process that got no answer has been executed.
    if (this.nonce !== null && holder.nonce === this.nonce) return this.onElected(version);
    // An earlier process of this member wrote the key. It has ended: there is never more than one.
    this.startElection(version, 0);
  }

  /** Writes the leader key if it still has that version. */
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
