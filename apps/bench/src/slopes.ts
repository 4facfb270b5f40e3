/** `npm run slopes [-- quarantine]`: measures the slopes that docs/CAPACITY.md uses, either all of them or only those of the quarantine. */
import { measureQuarantineSlopes } from './lib/measure/measureQuarantineSlopes.js'
import { measureSlopes } from './lib/measure/measureSlopes.js'

const print = (line: string): void => { process.stdout.write(`${line}\n`) }

if (process.argv.includes('quarantine')) measureQuarantineSlopes(print)
else await measureSlopes(print)
