/** State of one machine in the machine registry, and in this term's reconciliation. */
import type { Instant } from '@tealdock/wire';

/** An entry of the machine registry, as read by a new term. */
interface RestoredRegistration {
  readonly isReturning: boolean;
  readonly firstObservedAt: Instant;
  readonly isReconciled: boolean;
}

/** Registration of a machine, from its first heartbeat to its return to the cloud. */
export class MachineRegistration {
  private registered = false;
  private returning = false;
  private returnCommitted = false;
  private reconciled = false;
  private observedAt: Instant = Infinity;

  /** True once the machine registry has stored the machine; no start is dispatched before that. */
  get isRegistered(): boolean {
    return this.registered;
  }

  /** True once the machine is to be returned to the cloud; it gets no more tasks. */
  get isReturning(): boolean {
    return this.returning;
  }

  /** True once the machine registry has stored that, so that no later term gives it tasks. */
  get isReturnCommitted(): boolean {
    return this.returnCommitted;
  }

  /** True once this term knows its tasks, or knows that it has none from older terms. */
  get isReconciled(): boolean {
    return this.reconciled;
  }

  /** When its worker's first heartbeat came, on this process's monotonic clock; Infinity before. */
  get firstObservedAt(): Instant {
    return this.observedAt;
  }

  /** Applies the stored entry of the machine registry. */
  restore({ isReturning, firstObservedAt, isReconciled }: RestoredRegistration): void {
    this.registered = true;
    this.returning = isReturning;
    this.returnCommitted = isReturning;
    this.observedAt = firstObservedAt;
    this.reconciled = isReconciled;
  }

  /** Records a heartbeat of its worker. */
  recordObserved(now: Instant): void {
    this.observedAt = Math.min(this.observedAt, now);
  }

  /** Records that the machine registry has stored its entry. */
  recordRegistered(isReturnCommitted: boolean): void {
    this.registered = true;
    if (isReturnCommitted) this.returnCommitted = true;
  }

  markReturning(): void {
    this.returning = true;
  }

  markReconciled(): void {
    this.reconciled = true;
  }
}
