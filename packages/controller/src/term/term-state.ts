/** What the bindings of a term read, and the sums and marks that they keep. */
import type { UsageLedger } from '../machines/usage-ledger.js';
import type { DirtyMachines } from './dirty-machines.js';
import type { TermView } from './term-view.js';

/** A term as its bindings see it. */
export interface TermState extends TermView {
  readonly ledger: UsageLedger;
  readonly dirtyMachines: DirtyMachines;
}
