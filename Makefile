.PHONY: test demo measure environment start-faults

environment:
	tools/make_environment

test:
	bash .ci/run

demo: environment
	.venv/bin/python -m demo

measure: environment
	.venv/bin/python -m benchmarks $(NAME)

start-faults:
	python3 -m faults
