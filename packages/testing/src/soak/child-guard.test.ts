import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { execPath, kill } from 'node:process';
import { createInterface } from 'node:readline';
import { test } from 'node:test';
import { until } from './wait.js';

const GUARD_MODULE = new URL('./child-guard.js', import.meta.url).href;
const GONE_LIMIT_MS = 10_000;

/** Starts a guarded child, prints both ids, and then does what it is asked to. */
const parentScript = (then: string): string => `
  import { endWithParent, spawnGuarded } from ${JSON.stringify(GUARD_MODULE)};
  endWithParent();
  const child = spawnGuarded(process.execPath, ['-e', 'setInterval(() => undefined, 1000)']);
  console.log(process.pid, child.pid);
  ${then}
`;
const STAYS = 'setInterval(() => undefined, 1000);';

/** Starts the script above in a process whose only child it is. */
const grandparentScript = (): string => `
  import { spawn } from 'node:child_process';
  const args = ['--input-type=module', '-e', ${JSON.stringify(parentScript(STAYS))}];
  spawn(process.execPath, args, { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
`;

/** A process, and the ids that it prints: of the parent of a guarded child, and of the child. */
interface Started {
  process: ChildProcess;
  pids: number[];
  child: number;
}

async function startPrinting(script: string): Promise<Started> {
  const process = spawn(execPath, ['--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const [line] = (await once(createInterface({ input: process.stdout }), 'line')) as [string];
  const pids = line.split(' ').map(Number);
  return { process, pids, child: pids.at(-1) ?? NaN };
}

/** A process that has ended, but was not waited for by its parent, does not run. */
function runs(pid: number): boolean {
  try {
    return !/\) [ZX] /.test(readFileSync(`/proc/${pid}/stat`, 'utf8'));
  } catch {
    return false;
  }
}

/** Ends the process in some way; its guarded child must end with it. */
async function expectChildEnds(started: Started, end: () => void | Promise<void>): Promise<void> {
  const { child, pids, process } = started;
  try {
    assert.ok(runs(child));
    await end();
    assert.ok(await until(() => !runs(child), GONE_LIMIT_MS), `${child} runs on`);
  } finally {
    for (const pid of pids) if (runs(pid)) kill(pid, 'SIGKILL');
    process.kill('SIGKILL');
  }
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGKILL'] as const) {
  test(`a guarded child ends with a parent that gets ${signal}`, async () => {
    const started = await startPrinting(parentScript(STAYS));
    await expectChildEnds(started, () => void started.process.kill(signal));
  });
}

test('a guarded child ends with a parent that throws outside of any handler', async () => {
  const started = await startPrinting(
    parentScript('setTimeout(() => { throw new Error(); }, 300);'),
  );
  await expectChildEnds(started, async () => {
    const [code] = (await once(started.process, 'exit')) as [number];
    assert.equal(code, 1);
  });
});

test('a guarded child ends with a parent whose own parent is killed', async () => {
  const started = await startPrinting(grandparentScript());
  await expectChildEnds(started, () => void started.process.kill('SIGKILL'));
});
