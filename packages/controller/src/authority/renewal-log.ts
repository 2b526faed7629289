/** Logs when a leader gains or loses the authority to renew worker leases. */
import type { Runtime } from '../runtime/runtime.js';
import { evidenceFields, type Decision } from './decision.js';

/** Logs each change of the renewal decision in one term, including the first decision. */
export class RenewalLog {
  private lastOutcome: string | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** Writes a log line if the outcome or the refusal reason differs from the previous one. */
  record(decision: Decision): void {
    const outcome = decision.granted ? 'granted' : decision.reason;
    if (outcome === this.lastOutcome) return;
    this.lastOutcome = outcome;
    const fields = { outcome, ...evidenceFields(decision.evidence) };
    this.runtime.log('info', fields, 'renewal authority changed');
  }
}
