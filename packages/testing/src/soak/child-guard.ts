/** Child processes that are killed when this process ends, whatever ends it. */
import {
  spawn,
  type ChildProcess,
  type ChildProcessByStdio,
  type SpawnOptions,
} from 'node:child_process';
import { constants } from 'node:os';
import type { Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';

const GUARD_SCRIPT = fileURLToPath(new URL('./child-guard-main.js', import.meta.url));
const TERMINATION_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
/** Added to a signal's number for the exit code of a process that it ended, as in a shell. */
const SIGNAL_EXIT_CODE_BASE = 128;

/** The guard process, which reads the ids of the children from its standard input. */
type Guard = ChildProcessByStdio<Writable, null, null>;

const children = new Set<ChildProcess>();
let guard: Guard | null = null;

/**
 * Starts a child that is killed when this process ends: by this process's exit handler after a
 * normal end, an uncaught error or a signal, or by a guard process if this one gets SIGKILL.
 */
export function spawnGuarded(
  program: string,
  args: string[],
  options: SpawnOptions = {},
): ChildProcess {
  guard ??= startGuard();
  const child = spawn(program, args, options);
  children.add(child);
  notifyGuard('add', child);
  child.on('exit', () => {
    children.delete(child);
    notifyGuard('remove', child);
  });
  return child;
}

/** Exits when the parent process ends, if the parent started this one with an IPC channel. */
export function endWithParent(): void {
  if (!process.connected) return;
  process.on('disconnect', () => process.exit(1));
  process.channel?.unref();
}

function startGuard(): Guard {
  // In a process group of its own, so that a signal to this process's group doesn't end it.
  const started = spawn(process.execPath, [GUARD_SCRIPT], {
    detached: true,
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  started.unref();
  started.stdin.on('error', () => undefined);
  process.on('exit', killChildren);
  for (const signal of TERMINATION_SIGNALS) {
    process.on(signal, () => process.exit(SIGNAL_EXIT_CODE_BASE + constants.signals[signal]));
  }
  return started;
}

function killChildren(): void {
  for (const child of children) child.kill('SIGKILL');
}

function notifyGuard(action: 'add' | 'remove', { pid }: ChildProcess): void {
  if (pid !== undefined) guard?.stdin.write(`${action} ${pid}\n`);
}
