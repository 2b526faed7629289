/** Election and the leader's lease. */
import type { Instant } from '@tealdock/wire';
import { LEADER_KEY, type LeaderValue } from '../state/keys.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { readLeader } from '../state/stored-values.js';
import { minOnOtherClock } from '../runtime/clock-drift.js';

const LEASE_MARGIN = 100;
const RENEW_PART = 6;
const WATCH_HOLD = 10_000;
const RETRY = 500;
const READ_EVERY = 2000;
/** After giving leadership up, others get this long to take it. */
const STAND_BACK = 12_000;

/** Leadership that is surely held until an instant. */
export interface LeaderLease {
  fencingToken: number;
  validUntil: Instant;
}

/**
 * The leader is whoever holds one key on a lease of the state service; the token
 * is the revision of the commit that wrote it. A lease is sure from the *send* of
 * its last renewal, so a slow answer never stretches it.
 */
export class Leadership {
  /** Member that the key names, as last read; null when unknown. */
  leader: string | null = null;
  /** Version of the key as last read, which is the leader's token. */
  leaderFencingToken: number | null = null;
  private lease: number | null = null;
  private leaseUntil: Instant = 0;
  private fencingToken: number | null = null;
  private nonce: string | null = null;
  private electing = false;
  private standBackUntil: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly onGained: (token: number) => void,
    private readonly onLost: () => void,
  ) {}

  start(): void {
    this.follow();
    this.runtime.every(this.runtime.operator.leadership.leaseDuration / RENEW_PART, () => {
      this.renew();
      return true;
    });
  }

  /** Set only while the lease is surely valid. */
  validLease(): LeaderLease | null {
    if (this.fencingToken === null || this.runtime.now >= this.leaseUntil) return null;
    return { fencingToken: this.fencingToken, validUntil: this.leaseUntil };
  }

  /** Every transaction of a leader is guarded by this. */
  leaderPrecondition(): { key: string; version: number } {
    return { key: LEADER_KEY, version: this.fencingToken ?? 0 };
  }

  /** Gives leadership up for the others to take. */
  resign(reason: string): void {
    if (this.fencingToken === null) return;
    this.runtime.env.log(
      'info',
      { fencingToken: this.fencingToken, reason },
      'leadership resigned',
    );
    this.standBackUntil = this.runtime.now + STAND_BACK;
    if (this.lease !== null) this.state.revokeLease(this.lease);
    this.dropLease();
    this.lose();
  }

  /** A higher token exists: some other node leads. */
  observeHigherToken(token: number): void {
    if (this.fencingToken === null || token <= this.fencingToken) return;
    this.runtime.env.log(
      'info',
      { fencingToken: this.fencingToken, observedToken: token },
      'leadership superseded',
    );
    this.lose();
  }

  private lose(): void {
    this.fencingToken = null;
    this.nonce = null;
    this.leader = null;
    this.onLost();
  }

  private dropLease(): void {
    this.lease = null;
    this.leaseUntil = 0;
    // A key written on the lost lease can't be kept alive by a new one.
    this.nonce = null;
  }

  private renew(): void {
    const lease = this.lease;
    if (lease === null) return;
    const sent = this.runtime.now;
    this.state.renewLease(lease, (renewed) => {
      if (this.lease !== lease) return;
      if (renewed === 'ok') this.extend(sent);
      if (renewed !== 'ended') return;
      this.dropLease();
      if (this.fencingToken !== null) this.lose();
    });
  }

  private extend(sent: Instant): void {
    const life = this.runtime.operator.leadership.leaseDuration;
    this.leaseUntil = Math.max(this.leaseUntil, sent + minOnOtherClock(life) - LEASE_MARGIN);
  }

  /** Reads the key, acts on it, then watches for its next change. */
  private follow(): void {
    this.state.getValue(LEADER_KEY, readLeader, PRIORITY.lease, (got) => {
      if (got.kind === 'failed') return this.runtime.after(RETRY, () => this.follow());
      if (got.kind === 'missing') this.seeVacant();
      else this.seeHolder(got.value, got.version);
      const version = got.kind === 'found' ? got.version : null;
      if (version === null || this.electing)
        return this.runtime.after(RETRY / 2, () => this.follow());
      this.watchFrom(version);
    });
  }

  private watchFrom(revision: number): void {
    const opened = this.runtime.now;
    this.state.watch(LEADER_KEY, revision, WATCH_HOLD, (watched) => {
      const quick = this.runtime.now - opened < READ_EVERY && watched.kind !== 'events';
      this.runtime.after(quick ? RETRY : 0, () => this.follow());
    });
  }

  private seeVacant(): void {
    this.leader = null;
    this.leaderFencingToken = null;
    if (this.fencingToken !== null) this.lose();
    if (this.electing || this.runtime.now < this.standBackUntil) return;
    this.elect(0, this.runtime.env.random() * 200);
  }

  private seeHolder(value: LeaderValue, version: number): void {
    const own = value.member === this.runtime.settings.member;
    this.leader = value.member;
    this.leaderFencingToken = version;
    if (version === this.fencingToken) return;
    if (this.fencingToken !== null) this.lose();
    if (!own || this.electing) return;
    if (this.nonce !== null && value.nonce === this.nonce) return this.gain(version);
    // The same member's earlier process is dead: there is never more than one.
    this.elect(version, 0);
  }

  private elect(version: number, delay: number): void {
    this.electing = true;
    this.runtime.after(delay, () => this.obtainLease(version));
  }

  private obtainLease(version: number): void {
    if (this.lease !== null && this.runtime.now < this.leaseUntil) {
      return this.campaign(version, this.lease);
    }
    const sent = this.runtime.now;
    this.state.grantLease(this.runtime.operator.leadership.leaseDuration, (lease) => {
      if (lease === null) {
        this.electing = false;
        return;
      }
      this.lease = lease;
      this.leaseUntil = 0;
      this.extend(sent);
      this.campaign(version, lease);
    });
  }

  private campaign(version: number, lease: number): void {
    // Kept after an unanswered commit: the next read recognises it as our own.
    this.nonce = `${this.runtime.wallClock.getTime()}-${Math.floor(this.runtime.env.random() * 2 ** 31)}`;
    const value: LeaderValue = { member: this.runtime.settings.member, nonce: this.nonce };
    const write = { put: LEADER_KEY, value, lease };
    this.state.compareAndSwap(
      [{ key: LEADER_KEY, version }],
      [write],
      PRIORITY.lease,
      (committed) => {
        this.electing = false;
        if (committed.kind === 'ok') return this.gain(committed.revision);
        if (committed.kind === 'no_lease') this.dropLease();
      },
    );
  }

  private gain(token: number): void {
    if (this.lease === null) return;
    this.fencingToken = token;
    this.leader = this.runtime.settings.member;
    this.runtime.env.log('info', { fencingToken: token }, 'leadership acquired');
    this.onGained(token);
  }
}
