/** The operators' own settings (INI); see README for what each one does. */
import { parse as parseIni } from 'ini';
import { z } from 'zod';
import { millisecondsOf } from './body.js';
import type { Duration } from './domain.js';
import { validateSettings } from './validation.js';

const numberBetween = (fallback: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(fallback);

const operatorSchema = z.object({
  window: z
    .object({
      lambda_s: numberBetween(5, 0.05, 60),
      close_early_s: numberBetween(0.15, 0, 60),
      hold_answer_s: numberBetween(2, 0, 3),
    })
    .prefault({}),
  leadership: z
    .object({ lease_s: numberBetween(5, 2, 120), resign_deaf_s: numberBetween(6, 2, 120) })
    .prefault({}),
  fleet: z
    .object({
      idle_return_s: numberBetween(6, 0, 86400),
      boot_patience: numberBetween(4, 1.5, 100),
      headroom: numberBetween(1, 0, 10),
      policy: z.enum(['auto', 'frugal', 'fast']).default('auto'),
    })
    .prefault({}),
});

/** The operators' own settings. */
export interface OperatorSettings {
  window: {
    /** Longest time that a task waits for candidate machines: λ of the paper. */
    lambda: Duration;
    /** Time after which a window may close early, as recent heartbeats already show candidates. */
    closeEarlyAfter: Duration;
    /** How long the answer to a heartbeat may be held back in case a start gets assigned. */
    longPollTimeout: Duration;
  };
  leadership: {
    /** Duration of the lease that the leader holds in the state service. */
    leaseDuration: Duration;
    /** A leader that has received no heartbeat for this long resigns. */
    unreachableTimeout: Duration;
  };
  fleet: {
    /** Idle time after which a rented machine is returned; not used under `fast`. */
    idleTimeout: Duration;
    /** A boot counts as failed after this multiple of the boot time of its machine type. */
    bootTimeoutFactor: number;
    /** Under `fast`: spare capacity for future jobs, as a multiple of the unfinished tasks. */
    headroom: number;
    /**
     * `frugal` minimises the price, `fast` the time to start. `auto` stands for `fast` if the
     * operator owns machines, else for `frugal`.
     */
    policy: 'auto' | 'frugal' | 'fast';
  };
}

/** Parses the operators' INI file; throws `SettingsError` naming the first wrong setting. */
export function parseOperatorSettings(text: string): OperatorSettings {
  const { window, leadership, fleet } = validateSettings(operatorSchema, parseIni(text));
  return {
    window: {
      lambda: millisecondsOf(window.lambda_s),
      closeEarlyAfter: millisecondsOf(window.close_early_s),
      longPollTimeout: millisecondsOf(window.hold_answer_s),
    },
    leadership: {
      leaseDuration: millisecondsOf(leadership.lease_s),
      unreachableTimeout: millisecondsOf(leadership.resign_deaf_s),
    },
    fleet: {
      idleTimeout: millisecondsOf(fleet.idle_return_s),
      bootTimeoutFactor: fleet.boot_patience,
      headroom: fleet.headroom,
      policy: fleet.policy,
    },
  };
}
