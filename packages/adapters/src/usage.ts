/** What the process uses of its host, for the log and the gauges. */
import type { Log, Stats } from '@tealdock/controller';
import type { Connections } from './connections.js';

const MB = 1024 * 1024;

/** What the process takes of what its host allows, for /metrics and as a line of the log. */
export class Usage {
  private cpu = process.cpuUsage();
  private looked = performance.now();

  constructor(
    private readonly connections: Connections,
    private readonly stats: Stats,
    private readonly log: Log,
  ) {}

  note(): void {
    const usage = { ...this.processor(), ...memory(), ...this.connections.counts() };
    for (const [name, value] of Object.entries(usage)) this.stats.setGauge(`usage.${name}`, value);
    this.log('info', usage, 'resource usage');
  }

  /** Part of a core since the last look. */
  private processor(): { cpuPercent: number } {
    const { user, system } = process.cpuUsage(this.cpu);
    const elapsed = performance.now() - this.looked;
    this.cpu = process.cpuUsage();
    this.looked = performance.now();
    return { cpuPercent: Math.round((user + system) / 10 / elapsed) };
  }
}

function memory(): Record<string, number> {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  const inMb = (bytes: number) => Math.round(bytes / MB);
  return { memoryMb: inMb(rss), heapMb: inMb(heapUsed), buffersMb: inMb(arrayBuffers) };
}
