/** Child processes that do not outlive this one, however it ends. */
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
const ENDING_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
/** Exit codes of a process that ended by a signal start here, as in a shell. */
const SIGNAL_EXIT_CODE_BASE = 128;

/** The guard process; it reads which children there are from its standard input. */
type Guard = ChildProcessByStdio<Writable, null, null>;

const children = new Set<ChildProcess>();
let guard: Guard | null = null;

/**
 * Starts a child that is killed when this process ends: by its own exit handler after a return,
 * an error or a signal, and by a guard process if this one is killed without notice.
 */
export function spawnGuarded(
  program: string,
  args: string[],
  options: SpawnOptions = {},
): ChildProcess {
  guard ??= startGuard();
  const child = spawn(program, args, options);
  children.add(child);
  tellGuard('add', child);
  child.on('exit', () => {
    children.delete(child);
    tellGuard('remove', child);
  });
  return child;
}

/** Ends this process when the one that started it with an IPC channel ends. */
export function endWithParent(): void {
  if (!process.connected) return;
  process.on('disconnect', () => process.exit(1));
  process.channel?.unref();
}

function startGuard(): Guard {
  // In a process group of its own, so that a signal to this group leaves it.
  const started = spawn(process.execPath, [GUARD_SCRIPT], {
    detached: true,
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  started.unref();
  started.stdin.on('error', () => undefined);
  process.on('exit', killChildren);
  for (const signal of ENDING_SIGNALS) {
    process.on(signal, () => process.exit(SIGNAL_EXIT_CODE_BASE + constants.signals[signal]));
  }
  return started;
}

function killChildren(): void {
  for (const child of children) child.kill('SIGKILL');
}

function tellGuard(verb: 'add' | 'remove', { pid }: ChildProcess): void {
  if (pid !== undefined) guard?.stdin.write(`${verb} ${pid}\n`);
}
