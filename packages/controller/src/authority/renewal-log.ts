/** Logs when a leader gains or loses the authority to renew worker leases. */
import type { Runtime } from '../runtime/runtime.js';
import { evidenceFields, type Decision } from './decision.js';

/** Logs changes of the renewal decision of one term; the first decision counts as a change. */
export class RenewalLog {
  private lastOutcome: string | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** Writes a line if the outcome, or the reason of a refusal, differs from the last one. */
  record(decision: Decision): void {
    const outcome = decision.granted ? 'granted' : decision.reason;
    if (outcome === this.lastOutcome) return;
    this.lastOutcome = outcome;
    const fields = { outcome, ...evidenceFields(decision.evidence) };
    this.runtime.log('info', fields, 'renewal authority changed');
  }
}
