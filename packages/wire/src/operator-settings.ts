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
    /** Longest time that a task waits for candidates: λ of the paper. */
    lambda: Duration;
    /** Time after which a window may close early, since standing candidates are known. */
    closeEarly: Duration;
    /** How long the answer to a heartbeat may be held back for a start. */
    longPollTimeout: Duration;
  };
  leadership: {
    leaseDuration: Duration;
    /** A leader that no worker has reached for this long resigns. */
    unreachableTimeout: Duration;
  };
  fleet: {
    /** A rented machine without work is returned after this long. */
    idleTimeout: Duration;
    /** A boot has failed after this many times what its machine type names. */
    bootTimeoutFactor: number;
    /** In a fleet with its own machines: capacity kept free, as a multiple of the work at hand. */
    headroom: number;
    /** `frugal`: price first. `fast`: starts first. `auto`: fast where machines are owned. */
    policy: 'auto' | 'frugal' | 'fast';
  };
}

/** Reads the operators' INI file; throws `SettingsError` naming the wrong setting. */
export function parseOperatorSettings(text: string): OperatorSettings {
  const { window, leadership, fleet } = validateSettings(operatorSchema, parseIni(text));
  return {
    window: {
      lambda: millisecondsOf(window.lambda_s),
      closeEarly: millisecondsOf(window.close_early_s),
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
