import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { execPath, kill } from 'node:process';
import { createInterface } from 'node:readline';
import { test } from 'node:test';
import { waitUntil } from './wait.js';

const GUARD_MODULE = new URL('./child-guard.js', import.meta.url).href;
const EXIT_TIMEOUT_MS = 10_000;

/** Script that starts a guarded child, prints both process ids, and runs `continuation`. */
const parentScript = (continuation: string): string => `
  import { endWithParent, spawnGuarded } from ${JSON.stringify(GUARD_MODULE)};
  endWithParent();
  const child = spawnGuarded(process.execPath, ['-e', 'setInterval(() => undefined, 1000)']);
  console.log(process.pid, child.pid);
  ${continuation}
`;
const KEEP_RUNNING = 'setInterval(() => undefined, 1000);';

/** Script that runs `parentScript` in a child process with an IPC channel. */
const grandparentScript = (): string => `
  import { spawn } from 'node:child_process';
  const args = ['--input-type=module', '-e', ${JSON.stringify(parentScript(KEEP_RUNNING))}];
  spawn(process.execPath, args, { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
`;

/** A process that runs a script, and the printed ids: first the parent's, then the child's. */
interface StartedParent {
  process: ChildProcess;
  pids: number[];
  childPid: number;
}

async function startParent(script: string): Promise<StartedParent> {
  const process = spawn(execPath, ['--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const [line] = (await once(createInterface({ input: process.stdout }), 'line')) as [string];
  const pids = line.split(' ').map(Number);
  return { process, pids, childPid: pids.at(-1) ?? NaN };
}

/** Whether a process is running; a zombie, which its parent has not reaped yet, is not. */
function isRunning(pid: number): boolean {
  try {
    return !/\) [ZX] /.test(readFileSync(`/proc/${pid}/stat`, 'utf8'));
  } catch {
    return false;
  }
}

/** Calls `end`, which ends the started process, and expects the guarded child to end too. */
async function expectChildEnds(
  started: StartedParent,
  end: () => void | Promise<void>,
): Promise<void> {
  const { childPid, pids, process } = started;
  try {
    assert.ok(isRunning(childPid));
    await end();
    assert.ok(
      await waitUntil(() => !isRunning(childPid), EXIT_TIMEOUT_MS),
      `process ${childPid} is still running`,
    );
  } finally {
    for (const pid of pids) if (isRunning(pid)) kill(pid, 'SIGKILL');
    process.kill('SIGKILL');
  }
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGKILL'] as const) {
  test(`a guarded child ends with a parent that gets ${signal}`, async () => {
    const started = await startParent(parentScript(KEEP_RUNNING));
    await expectChildEnds(started, () => void started.process.kill(signal));
  });
}

test('a guarded child ends with a parent that throws outside of any handler', async () => {
  const started = await startParent(parentScript('setTimeout(() => { throw new Error(); }, 300);'));
  await expectChildEnds(started, async () => {
    const [code] = (await once(started.process, 'exit')) as [number];
    assert.equal(code, 1);
  });
});

test('a guarded child ends with a parent whose own parent is killed', async () => {
  const started = await startParent(grandparentScript());
  await expectChildEnds(started, () => void started.process.kill('SIGKILL'));
});
