#!/usr/bin/env node
import { runDaemon } from '@eelgrassmux/daemon/runDaemon'
import { entryProgram } from './lib/EntryDaemon.js'

await runDaemon(entryProgram, process.argv.slice(2))
