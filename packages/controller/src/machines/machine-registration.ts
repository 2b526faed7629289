/** Where one machine stands in the machine registry, and in this term's reconciliation. */
import type { Instant } from '@tealdock/wire';

/** An entry of the machine registry, as a new term reads it. */
interface RestoredRegistration {
  readonly isReturning: boolean;
  readonly firstObservedAt: Instant;
  readonly isReconciled: boolean;
}

/** From the first heartbeat of a machine to its return to the cloud. */
export class MachineRegistration {
  private registered = false;
  private returning = false;
  private returnCommitted = false;
  private reconciled = false;
  private observedAt: Instant = Infinity;

  /** True once the machine registry has it; no start is dispatched before. */
  get isRegistered(): boolean {
    return this.registered;
  }

  /** It gets no more work, and goes back to the cloud. */
  get isReturning(): boolean {
    return this.returning;
  }

  /** The machine registry says that it goes back, so no later term gives it work. */
  get isReturnCommitted(): boolean {
    return this.returnCommitted;
  }

  /** Its tasks are known in this term, or it is proven to have none of older terms. */
  get isReconciled(): boolean {
    return this.reconciled;
  }

  /** First known to be there, on this process's steady clock; Infinity before that. */
  get firstObservedAt(): Instant {
    return this.observedAt;
  }

  /** Takes over what the machine registry says. */
  restore({ isReturning, firstObservedAt, isReconciled }: RestoredRegistration): void {
    this.registered = true;
    this.returning = isReturning;
    this.returnCommitted = isReturning;
    this.observedAt = firstObservedAt;
    this.reconciled = isReconciled;
  }

  /** Its worker sent a heartbeat. */
  recordObserved(now: Instant): void {
    this.observedAt = Math.min(this.observedAt, now);
  }

  /** The machine registry has stored its entry. */
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
